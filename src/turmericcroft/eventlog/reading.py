"""Parses log lines of many daemons and explains how a request ended."""

import collections
import dataclasses
import json
import typing
from collections.abc import Iterable
from collections.abc import Sequence

from turmericcroft.eventlog import events

_ROLLOUT_EVENTS = (
    events.RolloutOrdered,
    events.RolloutAdvanced,
    events.RolloutAnswerBad,
    events.RolloutEnded,
    events.RolloutHeld,
)
# Events of a server, a dependency or a daemon within this time of a request's
# lines are shown with them.
_CONTEXT_S = 5.0
# Answers lost at one server within this time are attributed to one cause.
_SAME_CAUSE_S = 1.0

EVENT_CLASSES = {kind.__name__: kind for kind in typing.get_args(events.Event)}
_REQUEST_EVENT_NAMES = frozenset(
    name
    for name, kind in EVENT_CLASSES.items()
    if "request_id" in {field.name for field in dataclasses.fields(kind)}
)


@dataclasses.dataclass(frozen=True)
class Line:
    """One log line.

    Attributes:
        at_s: Unix time.
        daemon: Name of the daemon that wrote the line.
        event: The event; None for a free-form message, or for an event that
            this version can't parse.
        fields: All fields of the event, unknown ones included.
    """

    at_s: float
    daemon: str
    event: events.Event | None
    fields: dict[str, typing.Any]

    @property
    def kind(self) -> str:
        """Name of the event's class; "Message" if there is no event."""
        return type(self.event).__name__ if self.event else "Message"


def parse_lines(text: Iterable[str]) -> list[Line]:
    """Parses lines, which may be in any order, and sorts them by time.

    Text before the first brace of a line, such as the time and host name that
    a log collector adds, is ignored. Lines that aren't log lines are skipped.
    """
    lines = [line for raw in text if (line := _parse_line(raw)) is not None]
    return sorted(lines, key=lambda line: line.at_s)


def filter_recent(lines: Sequence[Line], period_s: float) -> list[Line]:
    """Returns the lines of a period that ends at the newest line."""
    newest_s = max((line.at_s for line in lines), default=0.0)
    return [line for line in lines if line.at_s >= newest_s - period_s]


def filter_by_server(lines: Sequence[Line], server: str) -> list[Line]:
    """Returns the lines that name a server."""
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


def filter_by_account(lines: Sequence[Line], account: str) -> list[Line]:
    """Returns the lines that name an account, and those of its requests."""
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


def filter_by_rollout(lines: Sequence[Line], service: str) -> list[Line]:
    """Returns the lines on the rollouts of a service."""
    return [
        line
        for line in lines
        if isinstance(line.event, _ROLLOUT_EVENTS)
        and line.event.service == service
    ]


def explain_rollout(lines: Sequence[Line], service: str) -> list[str]:
    """Explains from the log lines how the rollouts of a service went.

    Returns:
        One line for each order, decision and end, and for each daemon that held
        requests back; then one for the bad answers of each version.
    """
    found = filter_by_rollout(lines, service)
    if not found:
        return [f"no line names a rollout of {service}"]
    bad = [
        line.event
        for line in found
        if isinstance(line.event, events.RolloutAnswerBad)
    ]
    return [
        f"{line.daemon}: {_rollout_reason(line)}"
        for line in found
        if not isinstance(line.event, events.RolloutAnswerBad)
    ] + [
        f"bad answers of {version}: "
        + _count_bad([answer for answer in bad if answer.version == version])
        for version in sorted({answer.version for answer in bad})
    ]


def filter_by_request(lines: Sequence[Line], request_id: str) -> list[Line]:
    """Returns a request's lines and the related events around them."""
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return []
    servers = {line.fields.get("server") for line in request_lines} - {None, ""}
    first_s, last_s = request_lines[0].at_s, request_lines[-1].at_s
    related = [
        line
        for line in lines
        if line.kind not in _REQUEST_EVENT_NAMES
        and first_s - _CONTEXT_S <= line.at_s <= last_s + _CONTEXT_S
        and _is_related(line, request_lines[0].daemon, servers)
    ]
    return sorted([*request_lines, *related], key=lambda line: line.at_s)


def explain(lines: Sequence[Line], request_id: str) -> list[str]:
    """Explains from the log lines why a request ended as it did.

    Returns:
        One line if it needed no API key, one for each failed attempt, then how
        the request ended.
    """
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return [f"no line names request {request_id}"]
    reasons = [
        f"admitted without an API key: {line.event.keyless}"
        for line in request_lines
        if isinstance(line.event, events.RequestReceived) and line.event.keyless
    ] + [
        _attempt_failure_reason(lines, line)
        for line in request_lines
        if _is_attempt_failure(line)
    ]
    match request_lines[-1].event:
        case events.RequestRefused() as refused:
            reasons.append(_refusal_reason(refused))
        case events.RequestFailed() as failed:
            reasons.append(_failure_reason(failed))
        case events.RequestCancelled() as cancelled:
            reasons.append(
                f"its client disconnected after {cancelled.after_s:.2f} s"
            )
        case events.RequestAnswered() as answered:
            reasons.append(
                f"answered {answered.status} by {answered.server} after "
                f"{answered.total_s:.2f} s, {answered.sends} attempt(s)"
            )
        case _:
            reasons.append(
                "no end logged: the daemon stopped before, or it is still open"
            )
            reasons.extend(_daemon_end(lines, request_lines[-1]))
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
    if kind in EVENT_CLASSES:
        field_names = {
            field.name for field in dataclasses.fields(EVENT_CLASSES[kind])
        }
        try:
            # A newer version's lines may have fields that this one lacks.
            event = EVENT_CLASSES[kind](
                **{name: fields[name] for name in fields if name in field_names}
            )
        except TypeError:
            event = None
    return Line(at_s, daemon, event, fields)


def _rollout_reason(line: Line) -> str:
    match line.event:
        case events.RolloutOrdered() as ordered:
            return (
                f"order {ordered.era}.{ordered.revision} for {ordered.target} "
                f"{ordered.change}: {ordered.duration_s:.1f} s, "
                f"{ordered.servers} server(s) ready, replaces "
                f"{', '.join(ordered.replaced) or 'no version'}"
            )
        case events.RolloutAdvanced() as moved:
            return (
                f"{moved.target} {moved.before} -> {moved.phase} with share "
                f"{moved.share:.3f} after {moved.age_s:.1f} s: {moved.reason} "
                f"({moved.bad:.0f} of {moved.answered:.0f} answers bad, "
                f"{moved.sent:.0f} of {moved.seen:.0f} requests sent to it, "
                f"{moved.old_in_flight} left on other versions)"
                + _explain_tests(moved)
            )
        case events.RolloutEnded() as ended:
            return (
                f"{ended.target} {ended.state} after {ended.age_s:.1f} of "
                f"{ended.duration_s:.1f} s: {ended.reason}"
            )
        case events.RolloutHeld() as held:
            verb = "sends nothing" if held.held else "may send again"
            return (
                f"{verb} to {held.target}: {held.reason}, decision "
                f"{held.note_age_s:.1f} s old"
            )
    return ""


def _count_bad(answers: Sequence[events.RolloutAnswerBad]) -> str:
    counts = collections.Counter(
        (answer.cause, answer.route, answer.server) for answer in answers
    )
    limits_s = [answer.limit_s for answer in answers]
    return (
        "; ".join(
            f"{count} {cause} on {route} by {server}"
            for (cause, route, server), count in sorted(counts.items())
        )
        + f"; slow from {min(limits_s):.3f} to {max(limits_s):.3f} s"
    )


def _explain_tests(moved: events.RolloutAdvanced) -> str:
    """Returns what decided; empty for lines of builds that don't state it."""
    if not moved.present_test:
        return ""
    return (
        f"; {moved.left_s:.1f} s left, {moved.daemons} daemon(s), "
        f"present test: {'; '.join(moved.present_test)}; "
        f"since the order: {'; '.join(moved.all_counts)}"
    )


def _is_related(line: Line, daemon: str, servers: set[typing.Any]) -> bool:
    match line.event:
        case (
            events.ServerChanged()
            | events.ServerEjected()
            | events.ServerLetBack()
            | events.ServerPaused()
            | events.ServerLimited()
            | events.ServerCrashed()
        ):
            return line.event.server in servers and line.daemon == daemon
        case (
            events.DependencyLost()
            | events.DependencyRegained()
            | events.StoreRestored()
            | events.DeclarationInForce()
            | events.DeclarationRejected()
            | events.ProcessChanged()
        ):
            return line.daemon == daemon
        case _:
            return False


def _is_attempt_failure(line: Line) -> bool:
    return isinstance(line.event, (events.AnswerLost, events.ProvedNotRun))


def _attempt_failure_reason(lines: Sequence[Line], failure: Line) -> str:
    match failure.event:
        case events.ProvedNotRun() as refused:
            return (
                f"{refused.server} did not execute it "
                f"({refused.status or 'unreachable'}: {refused.reason})"
            )
        case events.AnswerLost() as lost:
            text = (
                f"{lost.server} gave no complete answer: {lost.cause}, after "
                f"{lost.events} event(s)"
            )
            return f"{text}; {_server_state(lines, failure, lost.server)}"
    return ""


def _server_state(lines: Sequence[Line], failure: Line, server: str) -> str:
    affected = {
        line.fields["request_id"]
        for line in lines
        if isinstance(line.event, events.AnswerLost)
        and line.event.server == server
        and abs(line.at_s - failure.at_s) < _SAME_CAUSE_S
    }
    changes = [
        line.event
        for line in lines
        if isinstance(line.event, events.ServerChanged)
        and line.event.server == server
        and abs(line.at_s - failure.at_s) < _CONTEXT_S
        and line.event.after != "ready"
    ]
    state = "its entry was still valid"
    if any(
        isinstance(line.event, events.ServerCrashed)
        and line.event.server == server
        and not line.event.announced
        and abs(line.at_s - failure.at_s) < _SAME_CAUSE_S
        for line in lines
    ):
        state = "it crashed"
    elif changes:
        state = f"it was {changes[0].after} (source: {changes[0].source})"
        if changes[0].after == "leaving" and changes[0].reclaimable:
            state += (
                f" with {changes[0].kind_left} other reclaimable server(s) "
                f"left in {changes[0].zone}"
            )
    if len(affected) > 1:
        return (
            f"{state}; it lost {len(affected) - 1} other answer(s) at that time"
        )
    return f"{state}; it lost no other answer at that time"


def _refusal_reason(refused: events.RequestRefused) -> str:
    retry = "no retry time given"
    if refused.retry_after_s is not None:
        retry = f"retry after {refused.retry_after_s:.2f} s"
    why = refused.detail or f"{refused.servers_known} server(s) known"
    return (
        f"refused {refused.status} {refused.reason} after "
        f"{refused.after_s:.2f} s and {refused.sends} attempt(s), with "
        f"{why}, declaration {refused.declaration}; {retry}"
    )


def _failure_reason(failed: events.RequestFailed) -> str:
    if not failed.may_run_again:
        why = "it may have run, and its route allows no second execution"
    elif failed.retries_left < 1.0:
        why = "the retry budget was exhausted"
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
