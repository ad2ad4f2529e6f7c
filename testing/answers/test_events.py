import hypothesis
import pytest
from hypothesis import strategies

from turmericcroft import errors
from turmericcroft.answers import events


def make_event(position, text="x"):
    data = b'{"choices":[{"index":0,"text":"%s"}]}' % text.encode()
    return b"id: %d\ndata: %s\n\n" % (position, data)


def make_stream(count):
    stream = b"".join(make_event(i + 1, f"t{i + 1}") for i in range(count))
    return stream + events.DONE


@hypothesis.given(
    strategies.integers(1, 12),
    strategies.lists(strategies.integers(1, 30), max_size=40),
)
def test_feed_gives_the_same_events_however_the_bytes_are_cut(count, cuts):
    stream = make_stream(count)
    buffer = events.EventBuffer()
    given = b""
    rest = stream
    for cut in cuts:
        given += buffer.feed(rest[:cut])
        rest = rest[cut:]
    given += buffer.feed(rest)
    assert given == stream
    assert buffer.finished
    assert buffer.position == count


@pytest.mark.parametrize(
    "position",
    [pytest.param(2, id="repeated"), pytest.param(4, id="skipped")],
)
def test_feed_refuses_a_position_out_of_order(position):
    buffer = events.EventBuffer()
    buffer.feed(make_event(1) + make_event(2))
    with pytest.raises(errors.StreamCorruptedError, match="from position 3"):
        buffer.feed(make_event(position))
    assert buffer.data == make_event(1) + make_event(2)


def test_feed_refuses_an_event_without_a_position():
    with pytest.raises(errors.StreamCorruptedError):
        events.EventBuffer().feed(b"data: {}\n\n")


def test_feed_refuses_events_after_the_end():
    buffer = events.EventBuffer()
    buffer.feed(make_stream(1))
    with pytest.raises(errors.StreamCorruptedError):
        buffer.feed(make_event(2))


def test_an_incomplete_event_of_a_lost_server_is_dropped():
    buffer = events.EventBuffer()
    buffer.feed(make_event(1) + make_event(2)[:10])
    buffer.drop_pending()
    assert buffer.feed(make_event(2)) == make_event(2)


@hypothesis.given(strategies.integers(0, 6))
def test_after_gives_every_later_event_once(position):
    stream = make_stream(6)
    buffer = events.EventBuffer()
    buffer.feed(stream)
    head = b"".join(make_event(i + 1, f"t{i + 1}") for i in range(position))
    assert head + buffer.after(position) == stream


def test_after_refuses_a_position_that_was_never_given_out():
    buffer = events.EventBuffer()
    buffer.feed(make_event(1))
    with pytest.raises(errors.InvalidRequestRefusal, match="at most 1"):
        buffer.after(2)


def test_assemble_joins_the_texts_of_all_events():
    buffer = events.EventBuffer()
    buffer.feed(make_stream(3))
    whole = events.assemble(buffer.payloads(), chat=False)
    assert whole["choices"][0]["text"] == "t1t2t3"
