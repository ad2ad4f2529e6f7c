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
def test_feed_returns_the_same_events_for_any_chunk_sizes(count, sizes):
    stream = make_stream(count)
    buffer = events.EventBuffer()
    fed = b""
    rest = stream
    for size in sizes:
        fed += buffer.feed(rest[:size])
        rest = rest[size:]
    fed += buffer.feed(rest)
    assert fed == stream
    assert buffer.finished
    assert buffer.position == count


@pytest.mark.parametrize(
    "position",
    [pytest.param(2, id="repeated"), pytest.param(4, id="skipped")],
)
def test_feed_rejects_a_position_out_of_order(position):
    buffer = events.EventBuffer()
    buffer.feed(make_event(1) + make_event(2))
    with pytest.raises(errors.StreamCorruptedError, match="from position 3"):
        buffer.feed(make_event(position))
    assert buffer.data == make_event(1) + make_event(2)


def test_feed_rejects_an_event_without_a_position():
    with pytest.raises(errors.StreamCorruptedError):
        events.EventBuffer().feed(b"data: {}\n\n")


def test_feed_rejects_events_after_the_terminating_event():
    buffer = events.EventBuffer()
    buffer.feed(make_stream(1))
    with pytest.raises(errors.StreamCorruptedError):
        buffer.feed(make_event(2))


def test_drop_pending_discards_an_incomplete_event():
    buffer = events.EventBuffer()
    buffer.feed(make_event(1) + make_event(2)[:10])
    buffer.drop_pending()
    assert buffer.feed(make_event(2)) == make_event(2)


@hypothesis.given(strategies.integers(0, 6))
def test_after_returns_every_later_event_once(position):
    stream = make_stream(6)
    buffer = events.EventBuffer()
    buffer.feed(stream)
    earlier = b"".join(make_event(i + 1, f"t{i + 1}") for i in range(position))
    assert earlier + buffer.after(position) == stream


def test_after_rejects_a_position_beyond_the_last_event():
    buffer = events.EventBuffer()
    buffer.feed(make_event(1))
    with pytest.raises(errors.InvalidRequestRefusal, match="at most 1"):
        buffer.after(2)


def test_assemble_joins_the_texts_of_all_events():
    buffer = events.EventBuffer()
    buffer.feed(make_stream(3))
    response = events.assemble(buffer.payloads(), chat=False)
    assert response["choices"][0]["text"] == "t1t2t3"
