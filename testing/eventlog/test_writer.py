"""The log's bounds under load, and that its writer never blocks."""

import json
import os
import time

import logbook
import pytest

from turmericcroft.eventlog import events
from turmericcroft.eventlog import writer


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def make_received(number):
    return events.RequestReceived(f"r{number}", "read", "north", 3, 2.5, 0.0)


def make_failed(number):
    return events.RequestFailed(
        f"r{number}", 502, "lost", "book", "north", "i-1", 1, 0, 0.4, False, 2.0
    )


def read_lines(read_end):
    text = b""
    while True:
        try:
            text += os.read(read_end, 65_536)
        except BlockingIOError:
            return [json.loads(line) for line in text.splitlines()]


def test_line_has_time_daemon_kind_and_fields_of_event(pipe):
    read_end, write_end = pipe
    log = writer.Writer("edge-1", write_end, lambda: 5.0, lambda: 99.5)
    log.write(make_received(1))
    log.flush()
    (line,) = read_lines(read_end)
    assert (line["time"], line["daemon"]) == (99.5, "edge-1")
    assert line["event"] == "RequestReceived"
    assert line["request_id"] == "r1"


def test_ten_times_the_load_drops_routine_lines_and_keeps_failures(pipe):
    read_end, write_end = pipe
    now = [0.0]
    log = writer.Writer("edge-1", write_end, lambda: now[0], lambda: now[0])
    kinds = []
    for second in range(3):
        now[0] = float(second)
        for number in range(1_150):
            log.write(make_received(number))
            if number % 10 == 0:
                log.write(make_failed(number))
            if number % 50 == 0:
                log.flush()
                kinds += [line["event"] for line in read_lines(read_end)]
    log.flush()
    kinds += [line["event"] for line in read_lines(read_end)]
    assert kinds.count("RequestFailed") == 3 * 115
    assert kinds.count("RequestReceived") <= 300
    now[0] = 3.0
    log.write(make_received(0))
    log.flush()
    dropped = [
        line["count"]
        for line in read_lines(read_end)
        if line["event"] == "LinesLeftOut"
    ]
    assert sum(dropped) > 0
    assert log.dropped["RequestReceived"] == 3 * 1_050


def test_stopped_reader_does_not_block_the_writer(pipe):
    read_end, write_end = pipe
    now = [0.0]
    log = writer.Writer("edge-1", write_end, lambda: now[0])
    began = time.monotonic()
    for second in range(60):
        now[0] = float(second)
        for number in range(200):
            log.write(make_failed(number))
        log.flush()
    assert time.monotonic() - began < 5.0
    assert log.dropped["RequestFailed"] > 1_000
    # Lines in the pipe are complete, as parsing them shows.
    assert read_lines(read_end)


def test_logbook_records_are_written_to_the_same_log(pipe):
    read_end, write_end = pipe
    log = writer.Writer("edge-1", write_end)
    with writer.LogbookHandler(log, "INFO").applicationbound():
        logbook.Logger("members").warning("seed not reached", seed="10.0.0.1")
    log.flush()
    (line,) = read_lines(read_end)
    assert line["message"] == "seed not reached"
    assert line["seed"] == "10.0.0.1"


def test_a_line_that_the_fast_encoder_rejects_is_written_all_the_same(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    output = writer.Writer("edge-0", descriptor)
    output.write_message({"number": 2**80, "text": "a\ud800b", "path": path})
    output.flush()
    os.close(descriptor)
    line = json.loads(path.read_text())
    assert line["number"] == 2**80
    assert line["path"] == str(path)
