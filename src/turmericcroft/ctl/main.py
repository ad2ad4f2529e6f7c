"""The operators' command-line tool.

Exit codes: 0 success, 1 refused or daemon not reached, 2 invalid input,
3 outcome unknown.
"""

import json
import pathlib
import sys
import time
import typing

import fire

from turmericcroft import errors
from turmericcroft.ctl import client
from turmericcroft.ctl import report
from turmericcroft.edge import intents
from turmericcroft.eventlog import reading

EXIT_REFUSED = 1
EXIT_FAULTY_INPUT = 2
EXIT_UNKNOWN = 3
_EXIT_BY_STATUS = {0: EXIT_REFUSED, 422: EXIT_FAULTY_INPUT, 504: EXIT_UNKNOWN}
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3_600}


class Commands:
    """Checks, plans and applies what should run, and shows what does.

    Args:
        daemon: URL of the operators' port of any one daemon; or set
            TURMERICCTL_DAEMON.
        token: Operator's token; or set TURMERICCTL_TOKEN.
        settings: TOML file with daemon, token and author; or set
            TURMERICCTL_SETTINGS.
        json: Print JSON for programs.
    """

    def __init__(
        self,
        daemon: str = "",
        token: str = "",
        settings: str = "",
        json: bool = False,
    ) -> None:
        self._connection = client.resolve_connection(daemon, token, settings)
        self._json = json

    def check(self, sheet: str, corrections: str) -> None:
        """Checks a sheet and its corrections without a daemon.

        Args:
            sheet: Path of the sheet (CSV).
            corrections: Path of the corrections (TOML).
        """
        submission = self._read(sheet, corrections, 0, "")
        try:
            content = submission.build()
        except errors.SheetError as error:
            _exit_with_error(EXIT_FAULTY_INPUT, str(error))
        _write_output(
            f"{len(content.deployments)} rows, {len(content.accounts)} "
            "accounts, no faults"
        )

    def logs(
        self,
        *files: str,
        request: str = "",
        server: str = "",
        account: str = "",
        rollout: str = "",
        since: str = "",
    ) -> None:
        """Shows log lines of many daemons in the order of time.

        Args:
            files: Files of log lines; standard input if there are none.
            request: Id of a request: its lines, what changed around them, and
                why it ended as it did.
            server: Name of a backend server.
            account: Name of a client account.
            rollout: Name of a service: the lines on its rollouts, and what
                decided them.
            since: Only the last part, such as 90s, 10m or 2h.
        """
        lines = _read_log_lines(files)
        if since:
            lines = reading.filter_recent(lines, _parse_duration_s(since))
        reasons: list[str] = []
        if request:
            reasons = reading.explain(lines, request)
            lines = reading.filter_by_request(lines, request)
        if server:
            lines = reading.filter_by_server(lines, server)
        if account:
            lines = reading.filter_by_account(lines, account)
        if rollout:
            reasons += reading.explain_rollout(lines, rollout)
            lines = reading.filter_by_rollout(lines, rollout)
        if self._json:
            _write_output(
                json.dumps(report.log_to_json(lines, reasons), indent=2)
            )
        else:
            _write_output("\n".join(report.format_log(lines, reasons)))

    def explain(
        self,
        path: str,
        metrics: str,
        method: str = "GET",
        host: str = "",
        headers: str = "",
        body: str = "",
    ) -> None:
        """Shows where one daemon would send a request now, without sending it.

        Args:
            path: Path and query of the request.
            metrics: URL of the daemon's metrics port.
            method: HTTP method.
            host: Host; if empty, that of the headers.
            headers: File of header lines as a client sends them, with the API
                key; - for standard input.
            body: File of the request's body.
        """
        query = {"method": method, "path": path}
        if host:
            query["host"] = host
        try:
            lines = []
            if headers:
                source = "/dev/stdin" if headers == "-" else headers
                lines = pathlib.Path(source).read_bytes().split(b"\n")
            content = pathlib.Path(body).read_bytes() if body else b""
        except OSError as error:
            _exit_with_error(EXIT_FAULTY_INPUT, str(error))
        head = b"".join(x.strip() + b"\r\n" for x in lines if x.strip())
        reply = client.explain(metrics, query, head + b"\r\n" + content)
        self._print(self._check(reply), report.format_explanation)

    def plan(self, sheet: str, corrections: str) -> None:
        """Shows what a sheet would change.

        Args:
            sheet: Path of the sheet (CSV).
            corrections: Path of the corrections (TOML).
        """
        submission = self._read(sheet, corrections, 0, "")
        plan = self._post("plan", vars(submission))
        self._print(plan, report.format_plan)

    def apply(
        self, sheet: str, corrections: str, base: int, message: str = ""
    ) -> None:
        """Puts a sheet in force.

        Args:
            sheet: Path of the sheet (CSV).
            corrections: Path of the corrections (TOML).
            base: The number that ``plan`` showed.
            message: Why, for the history.
        """
        submission = self._read(sheet, corrections, base, message)
        head = self._post("apply", vars(submission))
        self._print(head, report.format_head)

    def rollback(self, number: int, message: str = "") -> None:
        """Restores the content of an older number, under a new number.

        Args:
            number: The older number.
            message: Why, for the history.
        """
        body = {
            "number": number,
            "author": self._connection.author,
            "message": message,
        }
        self._print(self._post("rollback", body), report.format_head)

    def history(self) -> None:
        """Lists who put what in force and when."""
        self._print(
            self._get("/v1/configuration/history"), report.format_history
        )

    def show(self, number: int = 0) -> None:
        """Shows the rows in force, or those of an older number.

        Args:
            number: The older number; 0 for the one in force.
        """
        query = str(number) if number else ""
        rows = self._get("/v1/configuration/rows", number=query)
        self._print(rows, report.format_rows)

    def status(self) -> None:
        """Shows daemons, servers and the number in force."""
        self._print(self._get("/v1/status"), report.format_status)

    def timeline(
        self,
        request: str = "",
        server: str = "",
        account: str = "",
        since: str = "10m",
    ) -> None:
        """Shows events of all daemons in causal order.

        Args:
            request: Only events of this request id.
            server: Only events of this backend server.
            account: Only events of this client account.
            since: How far back, such as 90s, 10m or 2h.
        """
        since_ms = int((time.time() - _parse_duration_s(since)) * 1000)
        text = self._get(
            "/v1/timeline",
            request=request,
            server=server,
            account=account,
            since_ms=str(since_ms),
        )
        if isinstance(text, dict):
            text = json.dumps(text)
        events = [json.loads(line) for line in text.splitlines()]
        self._print(events, report.format_timeline)

    def release(self, fingerprint: str) -> None:
        """Ends the quarantine of a request.

        Args:
            fingerprint: As ``status`` shows it.
        """
        path = f"/v1/quarantine/{fingerprint}"
        body = self._check(client.delete(self._connection, path))
        self._print(body, lambda reply: [f"released {reply['released']}"])

    def _read(
        self, sheet: str, corrections: str, base: int, message: str
    ) -> intents.Submission:
        try:
            return intents.Submission(
                pathlib.Path(sheet).read_text("utf-8"),
                pathlib.Path(corrections).read_text("utf-8"),
                base,
                self._connection.author,
                message,
            )
        except (OSError, UnicodeDecodeError) as error:
            _exit_with_error(EXIT_FAULTY_INPUT, str(error))

    def _get(self, path: str, **query: str) -> typing.Any:
        return self._check(client.get(self._connection, path, **query))

    def _post(self, action: str, body: dict[str, typing.Any]) -> typing.Any:
        path = f"/v1/configuration/{action}"
        return self._check(client.post(self._connection, path, body))

    def _check(self, reply: client.Reply) -> typing.Any:  # noqa: RET503
        if reply.status == 200:
            return reply.body
        message = reply.body
        if isinstance(message, dict):
            message = message.get("error", message)
        if isinstance(message, dict):
            message = message.get("message", message)
        _exit_with_error(
            _EXIT_BY_STATUS.get(reply.status, EXIT_REFUSED), str(message)
        )

    def _print(
        self,
        body: typing.Any,
        render: typing.Callable[[typing.Any], list[str]],
    ) -> None:
        if self._json:
            _write_output(json.dumps(body, indent=2))
            return
        _write_output("\n".join(render(body)))


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="turmericctl")


def _read_log_lines(files: typing.Sequence[str]) -> list[reading.Line]:
    if not files:
        return reading.parse_lines(sys.stdin)
    text: list[str] = []
    for name in files:
        try:
            text += pathlib.Path(name).read_text("utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            _exit_with_error(
                EXIT_FAULTY_INPUT, f"{name}: expected log lines: {error}"
            )
    return reading.parse_lines(text)


def _parse_duration_s(text: str) -> float:
    unit_s = _SECONDS_BY_UNIT.get(text[-1:], 0)
    if not unit_s or not text[:-1].isdigit():
        _exit_with_error(
            EXIT_FAULTY_INPUT,
            f"--since: expected a time such as 90s, 10m or 2h, found {text!r}",
        )
    return float(int(text[:-1]) * unit_s)


def _write_output(text: str) -> None:
    sys.stdout.write(text + "\n")


def _exit_with_error(code: int, text: str) -> typing.NoReturn:
    sys.stderr.write(text + "\n")
    raise SystemExit(code)
