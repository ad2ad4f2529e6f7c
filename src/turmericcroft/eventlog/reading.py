"""Reads log lines of many daemons and finds what explains a request."""

import dataclasses
import json
import typing
from collections.abc import Iterable
from collections.abc import Sequence

from turmericcroft.eventlog import events

# Lines about a server or a dependency that lie this near to a request's own
# lines belong to its explanation.
_NEAR_S = 5.0
# Answers lost at one server within this time have one cause.
_TOGETHER_S = 1.0

KINDS = {kind.__name__: kind for kind in typing.get_args(events.Event)}
_REQUEST_KINDS = frozenset(
    name
    for name, kind in KINDS.items()
    if "request_id" in {field.name for field in dataclasses.fields(kind)}
)


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line.

    Attributes:
        at_s: Time of day, in Unix seconds.
        daemon: Who wrote it.
        event: The event; None for a message of another kind.
        fields: All fields of the event.
    """

    at_s: float
    daemon: str
    event: events.Event | None
    fields: dict[str, typing.Any]

    @property
    def kind(self) -> str:
        """Name of the kind of event."""
        return type(self.event).__name__ if self.event else "Message"


def parse(text: Iterable[str]) -> list[Line]:
    """Reads lines, in whatever order, and sorts them by time.

    What stands before the first brace of a line, such as a collector's own
    time and host name, is passed over; so are lines that hold no event.
    """
    lines = [found for raw in text if (found := _parse_line(raw)) is not None]
    return sorted(lines, key=lambda line: line.at_s)


def since(lines: Sequence[Line], period_s: float) -> list[Line]:
    """Keeps the last part of the lines."""
    newest_s = max((line.at_s for line in lines), default=0.0)
    return [line for line in lines if line.at_s >= newest_s - period_s]


def about_server(lines: Sequence[Line], server: str) -> list[Line]:
    """Keeps the lines that name a server."""
    return [
        line
        for line in lines
        if server
        in (
            line.fields.get("server"),
            line.fields.get("source"),
            line.fields.get("target"),
        )
    ]


def about_account(lines: Sequence[Line], account: str) -> list[Line]:
    """Keeps the lines of an account's requests, and of its quota."""
    requests = {
        line.fields["request_id"]
        for line in lines
        if line.fields.get("account") == account and "request_id" in line.fields
    }
    return [
        line
        for line in lines
        if line.fields.get("account") == account
        or line.fields.get("request_id") in requests
    ]


def about_request(lines: Sequence[Line], request_id: str) -> list[Line]:
    """Keeps a request's lines, and what changed around it."""
    own = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    servers = {line.fields.get("server") for line in own} - {None, ""}
    first_s, last_s = own[0].at_s, own[-1].at_s
    around = [
        line
        for line in lines
        if line.kind not in _REQUEST_KINDS
        and first_s - _NEAR_S <= line.at_s <= last_s + _NEAR_S
        and _concerns(line, own[0].daemon, servers)
    ]
    return sorted([*own, *around], key=lambda line: line.at_s)


def explain(lines: Sequence[Line], request_id: str) -> list[str]:
    """States why a request ended as it did, from its lines alone."""
    own = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not own:
        return [f"no line names request {request_id}"]
    reasons = [_loss_reason(lines, line) for line in own if _is_loss(line)]
    match own[-1].event:
        case events.RequestRefused() as refused:
            reasons.append(_refusal_reason(refused))
        case events.RequestFailed() as failed:
            reasons.append(_failure_reason(failed))
        case events.RequestCancelled() as cancelled:
            reasons.append(f"its client left after {cancelled.after_s:.2f} s")
        case events.RequestAnswered() as answered:
            reasons.append(
                f"answered {answered.status} by {answered.server} after "
                f"{answered.total_s:.2f} s, {answered.sends} send(s)"
            )
        case _:
            reasons.append("no end: the daemon ended first, or it is open")
            reasons.extend(_daemon_end(lines, own[-1]))
    return reasons


def _parse_line(raw: str) -> Line | None:
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(raw[start:])
        at_s, daemon = float(fields.pop("time")), str(fields.pop("daemon"))
        kind = fields.pop("event")
    except (ValueError, KeyError, AttributeError, TypeError):
        return None
    event: events.Event | None = None
    if kind in KINDS:
        known = {field.name for field in dataclasses.fields(KINDS[kind])}
        try:
            # Lines of a newer version may have more fields.
            event = KINDS[kind](
                **{name: fields[name] for name in fields if name in known}
            )
        except TypeError:
            event = None
    return Line(at_s, daemon, event, fields)


def _concerns(line: Line, daemon: str, servers: set[typing.Any]) -> bool:
    match line.event:
        case (
            events.ServerChanged()
            | events.ServerEjected()
            | events.ServerLetBack()
        ):
            return line.event.server in servers and line.daemon == daemon
        case (
            events.DependencyLost()
            | events.DependencyRegained()
            | events.DeclarationInForce()
            | events.ProcessChanged()
        ):
            return line.daemon == daemon
        case _:
            return False


def _is_loss(line: Line) -> bool:
    return isinstance(line.event, (events.AnswerLost, events.ProvedNotRun))


def _loss_reason(lines: Sequence[Line], loss: Line) -> str:
    match loss.event:
        case events.ProvedNotRun() as refused:
            return (
                f"{refused.server} did not run it "
                f"({refused.status or 'not reached'}: {refused.reason})"
            )
        case events.AnswerLost() as lost:
            text = (
                f"{lost.server} gave no whole answer: {lost.cause}, after "
                f"{lost.events} event(s)"
            )
            return f"{text}; {_server_state(lines, loss, lost.server)}"
    return ""


def _server_state(lines: Sequence[Line], loss: Line, server: str) -> str:
    others = {
        line.fields["request_id"]
        for line in lines
        if isinstance(line.event, events.AnswerLost)
        and line.event.server == server
        and abs(line.at_s - loss.at_s) < _TOGETHER_S
    }
    changes = [
        line.event
        for line in lines
        if isinstance(line.event, events.ServerChanged)
        and line.event.server == server
        and abs(line.at_s - loss.at_s) < _NEAR_S
        and line.event.after != "ready"
    ]
    state = "its entry stood"
    if changes:
        state = f"it was {changes[0].after} by {changes[0].source}"
        if changes[0].after == "leaving" and changes[0].reclaimable:
            state += (
                f", {changes[0].kind_left} other reclaimable left in "
                f"{changes[0].zone}"
            )
    if len(others) > 1:
        return f"{state}, and it lost {len(others) - 1} other(s) at once"
    return f"{state}, and it lost no other then"


def _refusal_reason(refused: events.RequestRefused) -> str:
    retry = "no time to come back"
    if refused.retry_after_s is not None:
        retry = f"come back after {refused.retry_after_s:.2f} s"
    why = refused.detail or f"{refused.servers_known} server(s) known"
    return (
        f"refused {refused.status} {refused.reason} after "
        f"{refused.after_s:.2f} s and {refused.sends} send(s), with "
        f"{why}, declaration {refused.declaration}; {retry}"
    )


def _failure_reason(failed: events.RequestFailed) -> str:
    if not failed.may_run_again:
        why = "it may have run, and its route allows no second run"
    elif failed.retries_left < 1.0:
        why = "the retry budget was spent"
    else:
        why = failed.reason
    end = f"answered {failed.status}" if failed.status else "broken off"
    return f"{end} after {failed.after_s:.2f} s: {why}"


def _daemon_end(lines: Sequence[Line], last: Line) -> list[str]:
    return [
        f"{line.daemon} {line.fields['change']} "
        f"{line.at_s - last.at_s:.2f} s later"
        for line in lines
        if isinstance(line.event, events.ProcessChanged)
        and line.daemon == last.daemon
        and line.at_s > last.at_s
    ][:1]
