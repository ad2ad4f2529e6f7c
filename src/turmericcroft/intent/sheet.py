"""Parser of the sheet of deployments, a CSV export of a spreadsheet."""

import csv
import io
import re
import types
import typing
from collections.abc import Callable
from collections.abc import Mapping

from turmericcroft import errors
from turmericcroft.intent import document

COLUMNS = (
    "kind",
    "name",
    "adapter",
    "version",
    "accounts",
    "availability_zones",
    "priority",
    "replicas",
    "first_token_ms",
    "between_tokens_ms",
    "max_context_tokens",
)
MAX_ROWS = 20_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_LIST_SEPARATOR = ";"
_FIRST_DATA_ROW = 2


class _CellError(ValueError):
    """A cell has no valid value; the message says what its column expects."""


def parse(text: str) -> Mapping[str, document.Deployment]:
    r"""Parses a sheet.

    A byte order mark at the start and blank rows are ignored.

    Args:
        text: The CSV text with one header row.

    Returns:
        Deployments by key.

    Raises:
        errors.SheetError: The sheet is faulty; the error lists every fault
            found, by row and column.

    Example:
        >>> parse("kind,name\n")
        Traceback (most recent call last):
        ...
        turmericcroft.errors.SheetError: sheet: 1 fault(s)
          row 1: expected the columns adapter, version, ..., found none of them
    """
    rows = list(csv.reader(io.StringIO(text.removeprefix("\ufeff"))))
    header = [cell.strip() for cell in rows[0]] if rows else []
    _check_header(header)
    faults: list[errors.Fault] = []
    deployments: dict[str, document.Deployment] = {}
    for number, row in enumerate(rows[1:], start=_FIRST_DATA_ROW):
        if not any(cell.strip() for cell in row):
            continue
        deployment = _parse_row(number, header, row, faults)
        if deployment is None:
            continue
        if deployment.key in deployments:
            faults.append(
                errors.Fault(
                    f"row {number}", "a row not given before", deployment.key
                )
            )
        deployments[deployment.key] = deployment
    if len(deployments) > MAX_ROWS:
        faults.append(
            errors.Fault("sheet", f"at most {MAX_ROWS} rows", str(len(rows)))
        )
    if faults:
        raise errors.SheetError("sheet", faults)
    return types.MappingProxyType(deployments)


def _check_header(header: list[str]) -> None:
    faults = []
    missing = [column for column in COLUMNS if column not in header]
    if missing:
        faults.append(
            errors.Fault(
                "row 1", f"the columns {', '.join(missing)}", "none of them"
            )
        )
    faults.extend(
        errors.Fault("row 1", "a known column", repr(column))
        for column in header
        if column not in COLUMNS
    )
    if len(set(header)) != len(header):
        faults.append(errors.Fault("row 1", "each column once", "a repeat"))
    if faults:
        raise errors.SheetError("sheet", faults)


def _parse_row(
    number: int,
    header: list[str],
    row: list[str],
    faults: list[errors.Fault],
) -> document.Deployment | None:
    if len(row) != len(header):
        faults.append(
            errors.Fault(f"row {number}", f"{len(header)} cells", str(len(row)))
        )
        return None
    values: dict[str, typing.Any] = {}
    for column, cell in zip(header, row, strict=True):
        try:
            values[column] = _CELL_PARSERS[column](cell.strip())
        except _CellError as error:
            location = f"row {number}, column {column}"
            faults.append(errors.Fault(location, str(error), repr(cell)))
    if len(values) != len(header):
        return None
    return document.Deployment(**values)


def _parse_kind(cell: str) -> document.Kind:
    try:
        return document.Kind(cell)
    except ValueError:
        raise _CellError("model or service") from None


def _parse_name(cell: str) -> str:
    if not _NAME.fullmatch(cell):
        raise _CellError("1 to 64 letters, digits, '.', '_' or '-'")
    return cell


def _parse_optional_name(cell: str) -> str:
    return _parse_name(cell) if cell else ""


def _parse_names(cell: str) -> tuple[str, ...]:
    names = tuple(
        _parse_name(part.strip())
        for part in cell.split(_LIST_SEPARATOR)
        if part
    )
    if not names or len(set(names)) != len(names):
        raise _CellError("different names, separated by ';'")
    return tuple(sorted(names))


def _integer_parser(low: int, high: int) -> Callable[[str], int]:
    def parse_cell(cell: str) -> int:
        if not cell.isascii() or not cell.isdigit():
            raise _CellError(f"a whole number from {low} to {high}")
        if not low <= int(cell) <= high:
            raise _CellError(f"a whole number from {low} to {high}")
        return int(cell)

    return parse_cell


_CELL_PARSERS: Mapping[str, Callable[[str], typing.Any]] = {
    "kind": _parse_kind,
    "name": _parse_name,
    "adapter": _parse_optional_name,
    "version": _parse_name,
    "accounts": _parse_names,
    "availability_zones": _parse_names,
    "priority": _integer_parser(1, 9),
    "replicas": _integer_parser(0, 5_000),
    "first_token_ms": _integer_parser(1, 600_000),
    "between_tokens_ms": _integer_parser(1, 60_000),
    "max_context_tokens": _integer_parser(1, 10_000_000),
}
