"""HTTP handlers with which operators change and read the configuration."""

import dataclasses
import json
import typing
from collections.abc import Awaitable
from collections.abc import Callable

import cattrs
import sanic
from sanic import response as sanic_response

from turmericcroft import errors
from turmericcroft.daemon import acceptance as acceptances
from turmericcroft.intent import corrections
from turmericcroft.intent import document
from turmericcroft.intent import sheet


@dataclasses.dataclass(frozen=True)
class Submission:
    """A configuration that an operator plans or applies.

    Attributes:
        sheet: Text of the sheet (CSV).
        corrections: Text of the corrections (TOML).
        base: Number of the configuration that it was planned against.
        author: Name of the operator.
        message: Reason for the change.
    """

    sheet: str
    corrections: str
    base: int = 0
    author: str = ""
    message: str = ""

    def build(self) -> document.Document:
        """Parses the sheet and the corrections into a document.

        Raises:
            errors.SheetError: The sheet or the corrections are faulty; the
                error lists every fault found.
        """
        return corrections.build_document(
            sheet.parse(self.sheet), corrections.parse(self.corrections)
        )


@dataclasses.dataclass(frozen=True)
class Rollback:
    """A request to restore an older configuration.

    Attributes:
        number: Number of the configuration to restore.
        author: Name of the operator.
        message: Reason for the rollback.
    """

    number: int
    author: str = ""
    message: str = ""


class IntentsApi:
    """Handlers for plan, apply, rollback, history and rows."""

    def __init__(self, acceptance: acceptances.Acceptance) -> None:
        self.acceptance = acceptance

    async def plan(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Lists what a submission would change."""
        return await _respond(lambda: self._plan(request))

    async def apply(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Accepts a submission as the new configuration."""
        return await _respond(lambda: self._apply(request))

    async def rollback(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Accepts an older configuration again, under a new number."""
        return await _respond(lambda: self._rollback(request))

    async def history(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Lists the accepted configurations."""
        del request
        return await _respond(self._history)

    async def show(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Returns the rows of a configuration, by default the one in force."""
        number = request.args.get("number", "")
        return await _respond(lambda: self._show(number))

    async def _plan(self, request: sanic.Request) -> typing.Any:
        submission = _parse_body(request, Submission)
        return cattrs.unstructure(
            await self.acceptance.plan(submission.build())
        )

    async def _apply(self, request: sanic.Request) -> typing.Any:
        submission = _parse_body(request, Submission)
        proposal = acceptances.Proposal(
            submission.build(),
            submission.base,
            submission.author,
            submission.message,
        )
        return cattrs.unstructure(await self.acceptance.apply(proposal))

    async def _rollback(self, request: sanic.Request) -> typing.Any:
        rollback = _parse_body(request, Rollback)
        head = await self.acceptance.rollback(
            rollback.number, rollback.author, rollback.message
        )
        return cattrs.unstructure(head)

    async def _history(self) -> typing.Any:
        return cattrs.unstructure(await self.acceptance.history())

    async def _show(self, number: str) -> typing.Any:
        in_force = self.acceptance.board.in_force
        if number.isdigit():
            content = await self.acceptance.read_number(int(number))
        elif in_force is not None:
            content = in_force.content
        else:
            content = document.EMPTY
        rows = [content.deployments[key] for key in sorted(content.deployments)]
        return cattrs.unstructure(rows)


_T = typing.TypeVar("_T")


def _parse_body(request: sanic.Request, kind: type[_T]) -> _T:
    try:
        return cattrs.structure(json.loads(request.body), kind)
    except (ValueError, KeyError, cattrs.BaseValidationError) as error:
        fault = errors.Fault("body", f"a {kind.__name__}", repr(error))
        raise errors.FaultyInputError("request", [fault]) from error


async def _respond(
    handle: Callable[[], Awaitable[typing.Any]],
) -> sanic.HTTPResponse:
    try:
        return sanic_response.json(await handle())
    except errors.FaultyInputError as error:
        return _error_response(422, "faulty_input", error)
    except errors.MergeConflictError as error:
        return _error_response(409, "conflict", error)
    except errors.KeyValueUnavailableError as error:
        return _error_response(503, "unavailable", error)
    except errors.KeyValueOutcomeUnknownError as error:
        return _error_response(504, "outcome_unknown", error)


def _error_response(
    status: int, code: str, error: Exception
) -> sanic.HTTPResponse:
    body = {"error": {"code": code, "message": str(error)}}
    return sanic_response.json(body, status=status)
