"""Operators' HTTP interface to the configuration."""

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
    """What an operator sends.

    Attributes:
        sheet: Text of the sheet (CSV).
        corrections: Text of the corrections (TOML).
        base: The number that it was planned on.
        author: Who sends it.
        message: Why.
    """

    sheet: str
    corrections: str
    base: int = 0
    author: str = ""
    message: str = ""

    def build(self) -> document.Document:
        """Parses sheet and corrections.

        Raises:
            errors.SheetError: All faults.
        """
        return corrections.build_document(
            sheet.parse(self.sheet), corrections.parse(self.corrections)
        )


@dataclasses.dataclass(frozen=True)
class Rollback:
    """Asks for the content of an older number."""

    number: int
    author: str = ""
    message: str = ""


class IntentsApi:
    """Handlers for plan, apply, history and rollback."""

    def __init__(self, acceptance: acceptances.Acceptance) -> None:
        self.acceptance = acceptance

    async def plan(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Tells what a submission would change."""
        return await _answer(lambda: self._plan(request))

    async def apply(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Makes a submission the accepted configuration."""
        return await _answer(lambda: self._apply(request))

    async def rollback(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Restores an older content under a new number."""
        return await _answer(lambda: self._rollback(request))

    async def history(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Lists what was accepted."""
        del request
        return await _answer(self._history)

    async def show(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Returns the rows of a number, by default of the one in force."""
        number = request.args.get("number", "")
        return await _answer(lambda: self._show(number))

    async def _plan(self, request: sanic.Request) -> typing.Any:
        submission = _structure(request, Submission)
        return cattrs.unstructure(
            await self.acceptance.plan(submission.build())
        )

    async def _apply(self, request: sanic.Request) -> typing.Any:
        submission = _structure(request, Submission)
        proposal = acceptances.Proposal(
            submission.build(),
            submission.base,
            submission.author,
            submission.message,
        )
        return cattrs.unstructure(await self.acceptance.apply(proposal))

    async def _rollback(self, request: sanic.Request) -> typing.Any:
        wanted = _structure(request, Rollback)
        head = await self.acceptance.rollback(
            wanted.number, wanted.author, wanted.message
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


def _structure(request: sanic.Request, kind: type[_T]) -> _T:
    try:
        return cattrs.structure(json.loads(request.body), kind)
    except (ValueError, KeyError, cattrs.BaseValidationError) as error:
        fault = errors.Fault("body", f"a {kind.__name__}", repr(error))
        raise errors.FaultyInputError("request", [fault]) from error


async def _answer(
    work: Callable[[], Awaitable[typing.Any]],
) -> sanic.HTTPResponse:
    try:
        return sanic_response.json(await work())
    except errors.FaultyInputError as error:
        return _problem(422, "faulty_input", error)
    except errors.MergeConflictError as error:
        return _problem(409, "conflict", error)
    except errors.KeyValueUnavailableError as error:
        return _problem(503, "unavailable", error)
    except errors.KeyValueOutcomeUnknownError as error:
        return _problem(504, "outcome_unknown", error)


def _problem(status: int, code: str, error: Exception) -> sanic.HTTPResponse:
    body = {"error": {"code": code, "message": str(error)}}
    return sanic_response.json(body, status=status)
