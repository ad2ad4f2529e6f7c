"""Formats replies and log lines as short text lines that fit a phone."""

import datetime
import typing
from collections.abc import Mapping
from collections.abc import Sequence

from turmericcroft.eventlog import reading

_Body = Mapping[str, typing.Any]


def format_plan(body: _Body) -> list[str]:
    """Formats the changes that a plan lists.

    Example:
        >>> format_plan({"number": 3, "differences": []})
        ['compared with number 3', 'nothing would change']
    """
    lines = [f"compared with number {body['number']}"]
    for change in body["differences"]:
        lines.extend(_format_difference(change))
    if not body["differences"]:
        lines.append("nothing would change")
    else:
        lines.append(f"apply with --base={body['number']}")
    return lines


def format_head(body: _Body) -> list[str]:
    """Formats the head of an accepted configuration."""
    return [f"accepted as number {body['number']}"]


def format_history(body: Sequence[_Body]) -> list[str]:
    """Formats the accepted configurations, newest first."""
    return [_format_history_item(item) for item in reversed(body)]


def format_rows(body: Sequence[_Body]) -> list[str]:
    """Formats rows of the sheet."""
    lines = []
    for row in body:
        name = (
            f"{row['name']}:{row['adapter']}" if row["adapter"] else row["name"]
        )
        lines.append(f"{row['kind']} {name}@{row['version']}")
        lines.append(f"  accounts {', '.join(row['accounts'])}")
        lines.append(
            f"  {row['replicas']} in each of "
            f"{', '.join(row['availability_zones'])}"
        )
        lines.append(
            f"  priority {row['priority']}, first token "
            f"{row['first_token_ms']} ms"
        )
    return lines or ["no rows"]


def format_status(body: _Body) -> list[str]:
    """Formats the state of daemons, servers and quarantined requests."""
    ready = "ready" if body["ready"] else "NOT READY"
    lines = [
        f"{body['daemon']} ({body['availability_zone']}): {ready}",
        f"configuration {body['configuration']} by {body['author']}",
        "daemons:",
    ]
    lines.extend(
        f"  {member['name']} {member['health']}, "
        f"number {member['configuration']}"
        for member in body["members"]
    )
    lines.append("servers:")
    lines.extend(
        f"  {server['name']} ({server['availability_zone']}): "
        f"{', '.join(server['runs'])}, {server['in_flight']} in flight"
        for server in body["servers"]
    )
    lines.extend(f"  {name} is leaving" for name in body["leaving"])
    lines.extend(
        f"quarantine {item['fingerprint']}: {item['crashes']} crashes"
        for item in body["quarantine"]
    )
    return lines


def format_explanation(body: _Body) -> list[str]:
    """Formats where a request would go, and why."""
    lines = [
        f"{body['daemon']}, declaration {body['declaration_version']}",
        _format_key_check(body),
        f"route {body['route'] or 'none'}, account {body['account'] or 'none'}",
    ]
    lines += [
        f"fault: {_format_values(fault)}"
        for fault in body.get("declaration_faults", ())
    ]
    refusal, selection = body.get("refusal"), body.get("selection")
    if refusal is not None:
        retry_after_s = refusal["retry_after_s"]
        after = "" if retry_after_s is None else f" after {retry_after_s:.2f} s"
        lines.append(
            f"refused: {refusal['status']} {refusal['code']}"
            + (f", retry{after}" if after else "")
        )
        lines += [
            f"  {refusal[x]}" for x in ("message", "detail") if refusal[x]
        ]
    if selection is not None:
        lines.append(
            f"goes to {selection['server']['name']} of {body['service']}, one "
            f"of {selection['candidates']} candidates, first event expected "
            f"after {selection['first_event_s']:.3f} s"
        )
    for name in ("admission", "situation", "rollout"):
        if body.get(name):
            lines.append(f"{name}: {_format_values(body[name])}")
    placement = (selection or {}).get("placement")
    servers = body.get("servers", ())
    if placement is not None:
        lines.append(
            f"digests {_format_value(placement['digest_age_s'])} s old"
        )
        servers = placement["compared"]
    lines += [f"  {_format_values(server)}" for server in servers]
    return lines


def _format_key_check(body: _Body) -> str:
    """Formats whether keys are asked for; unknown from an earlier build."""
    match body.get("requires_api_keys"):
        case True:
            text = f"API keys of {body['accounts']} account(s) are asked for"
        case False:
            text = "no API key is asked for"
        case _:
            return "not known whether API keys are asked for"
    keyless = body.get("keyless")
    return f"{text}, none of this request: {keyless}" if keyless else text


def _format_values(value: typing.Any) -> str:
    if not isinstance(value, dict):
        return str(value)
    return ", ".join(
        f"{name} {_format_value(item)}" for name, item in value.items()
    )


def _format_value(value: typing.Any) -> str:
    if value is None:
        return "unknown"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def format_timeline(body: Sequence[_Body]) -> list[str]:
    """Formats events, one on each line."""
    return [_format_event(item) for item in body] or ["no events"]


def _format_difference(change: _Body) -> list[str]:
    if change["field"]:
        return [
            f"~ {change['item']}",
            f"    {change['field']}: {change['before']} -> {change['after']}",
        ]
    return [f"{'+' if change['after'] else '-'} {change['item']}"]


def _format_history_item(item: _Body) -> str:
    at = datetime.datetime.fromtimestamp(item["applied_at"], datetime.UTC)
    text = f"{item['number']} {at:%m-%d %H:%M}Z {item['author']}"
    if item["rollback_of"]:
        text += f" (rollback of {item['rollback_of']})"
    return f"{text}: {item['message']}" if item["message"] else text


def _format_event(item: _Body) -> str:
    at = datetime.datetime.fromtimestamp(item["wall_ms"] / 1000.0, datetime.UTC)
    omitted = {"wall_ms", "counter", "daemon", "event"}
    details = " ".join(
        f"{key}={value}"
        for key, value in item.items()
        if key not in omitted and value != ""
    )
    return f"{at:%H:%M:%S.%f} {item['daemon']} {item['event']} {details}"


def format_log(
    lines: Sequence[reading.Line], reasons: Sequence[str]
) -> list[str]:
    """Formats log lines, preceded by the reasons why a request ended."""
    output = [f"* {reason}" for reason in reasons]
    for line in lines:
        at = datetime.datetime.fromtimestamp(line.at_s, datetime.UTC)
        output.append(f"{at:%H:%M:%S.%f}"[:-3] + f" {line.daemon} {line.kind}")
        output += [
            f"  {name} {value}"
            for name, value in line.fields.items()
            if value not in ("", None, False, 0)
        ]
    return output or ["no lines"]


def log_to_json(
    lines: Sequence[reading.Line], reasons: Sequence[str]
) -> dict[str, typing.Any]:
    """Returns log lines and reasons as values for JSON."""
    return {
        "reasons": list(reasons),
        "lines": [
            {"time": line.at_s, "daemon": line.daemon, "event": line.kind}
            | line.fields
            for line in lines
        ],
    }
