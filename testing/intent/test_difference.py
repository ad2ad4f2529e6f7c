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


def changed(base, row, **changes):
    rows = dict(base.deployments)
    rows[row.key] = dataclasses.replace(rows[row.key], **changes)
    return dataclasses.replace(base, deployments=rows)


BASE = conftest.make_document(ROW, OTHER)


def test_changes_of_different_fields_are_merged():
    ours = changed(BASE, ROW, priority=3)
    theirs = changed(BASE, ROW, replicas=7)
    merged = difference.merge(BASE, ours, theirs)
    row = merged.deployments[ROW.key]
    assert (row.priority, row.replicas) == (3, 7)


def test_the_same_change_on_both_sides_is_no_conflict():
    both = changed(BASE, ROW, priority=3)
    assert difference.merge(BASE, both, both) == both


def test_a_conflict_names_row_field_and_both_values():
    ours = changed(BASE, ROW, priority=3)
    theirs = changed(BASE, ROW, priority=5)
    with pytest.raises(
        errors.MergeConflictError,
        match="survey:@1 priority: yours is 3, in force is 5",
    ):
        difference.merge(BASE, ours, theirs)


def test_a_row_that_one_side_removed_and_the_other_changed_conflicts():
    ours = conftest.make_document(OTHER)
    theirs = changed(BASE, ROW, priority=5)
    with pytest.raises(errors.MergeConflictError, match="removed"):
        difference.merge(BASE, ours, theirs)


def test_rows_that_each_side_added_are_both_kept():
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
def test_a_merge_loses_no_change_or_names_a_conflict(mine, other):
    ours, theirs = changed(BASE, ROW, **mine), changed(BASE, ROW, **other)
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
def test_a_document_survives_its_parts(count):
    rows = [conftest.make_deployment(f"m{i}") for i in range(count)]
    whole = conftest.make_document(*rows)
    parts = part.split(whole)
    head = part.Head(1, tuple(parts), "a", "", 0.0)
    assert part.decode_document(head, parts) == whole


def test_a_change_of_one_row_changes_one_part():
    rows = [conftest.make_deployment(f"m{i}") for i in range(500)]
    whole = conftest.make_document(*rows)
    after = changed(whole, rows[7], priority=9)
    new = set(part.split(after)) - set(part.split(whole))
    assert len(new) == 1


def test_a_damaged_part_is_refused():
    parts = dict(part.split(BASE))
    head = part.Head(1, tuple(parts), "a", "", 0.0)
    parts[head.parts[0]] += b" "
    with pytest.raises(errors.FaultyInputError, match=head.parts[0]):
        part.decode_document(head, parts)
