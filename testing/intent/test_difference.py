import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from testing import conftest
from turmericcroft import errors
from turmericcroft.intent import difference
from turmericcroft.intent import part

ROW = conftest.make_deployment()
OTHER = conftest.make_deployment("naming")


def with_changes(base, row, **changes):
    rows = dict(base.deployments)
    rows[row.key] = dataclasses.replace(rows[row.key], **changes)
    return dataclasses.replace(base, deployments=rows)


BASE = conftest.make_document(ROW, OTHER)


def test_changes_to_different_fields_are_merged():
    ours = with_changes(BASE, ROW, priority=3)
    theirs = with_changes(BASE, ROW, replicas=7)
    merged = difference.merge(BASE, ours, theirs)
    row = merged.deployments[ROW.key]
    assert (row.priority, row.replicas) == (3, 7)


def test_the_same_change_on_both_sides_is_no_conflict():
    both = with_changes(BASE, ROW, priority=3)
    assert difference.merge(BASE, both, both) == both


def test_a_conflict_reports_the_row_the_field_and_both_values():
    ours = with_changes(BASE, ROW, priority=3)
    theirs = with_changes(BASE, ROW, priority=5)
    with pytest.raises(
        errors.MergeConflictError,
        match="survey:@1 priority: yours is 3, in force is 5",
    ):
        difference.merge(BASE, ours, theirs)


def test_removing_a_row_that_the_other_side_changed_conflicts():
    ours = conftest.make_document(OTHER)
    theirs = with_changes(BASE, ROW, priority=5)
    with pytest.raises(errors.MergeConflictError, match="removed"):
        difference.merge(BASE, ours, theirs)


def test_rows_added_by_both_sides_are_kept():
    third, fourth = (conftest.make_deployment(n) for n in ("lane", "post"))
    ours = conftest.make_document(ROW, OTHER, third)
    theirs = conftest.make_document(ROW, OTHER, fourth)
    merged = difference.merge(BASE, ours, theirs)
    assert {third.key, fourth.key} <= set(merged.deployments)


_VALUES = strategies.fixed_dictionaries(
    {
        "priority": strategies.integers(1, 3),
        "replicas": strategies.integers(0, 2),
        "first_token_ms": strategies.integers(900, 902),
    }
)


@hypothesis.given(_VALUES, _VALUES)
def test_a_merge_keeps_all_changes_or_reports_a_conflict(mine, other):
    ours, theirs = (
        with_changes(BASE, ROW, **mine),
        with_changes(BASE, ROW, **other),
    )
    try:
        merged = difference.merge(BASE, ours, theirs)
    except errors.MergeConflictError as error:
        for line in error.conflicts:
            field = line.split()[1].rstrip(":")
            assert len({mine[field], other[field], getattr(ROW, field)}) == 3
        return
    row = merged.deployments[ROW.key]
    for field, value in mine.items():
        if value != getattr(ROW, field):
            assert getattr(row, field) == value
    for field, value in other.items():
        if value != getattr(ROW, field):
            assert getattr(row, field) == value


@pytest.mark.parametrize("count", [0, 1, 64, 65, 500])
def test_a_document_equals_the_one_decoded_from_its_parts(count):
    rows = [conftest.make_deployment(f"m{i}") for i in range(count)]
    configuration = conftest.make_document(*rows)
    parts = part.split(configuration)
    head = part.Head(1, tuple(parts), "a", "", 0.0)
    assert part.decode_document(head, parts) == configuration


def test_a_change_to_one_row_changes_one_part():
    rows = [conftest.make_deployment(f"m{i}") for i in range(500)]
    configuration = conftest.make_document(*rows)
    after = with_changes(configuration, rows[7], priority=9)
    new = set(part.split(after)) - set(part.split(configuration))
    assert len(new) == 1


def test_a_damaged_part_is_rejected():
    parts = dict(part.split(BASE))
    head = part.Head(1, tuple(parts), "a", "", 0.0)
    parts[head.parts[0]] += b" "
    with pytest.raises(errors.FaultyInputError, match=head.parts[0]):
        part.decode_document(head, parts)
