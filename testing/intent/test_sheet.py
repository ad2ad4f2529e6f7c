import pytest

from turmericcroft import errors
from turmericcroft.intent import sheet

HEADER = ",".join(sheet.COLUMNS)
ROW = "model,survey,,1,north;east,zone-a,1,2,910,50,4096"


def test_a_byte_order_mark_and_blank_rows_are_ignored():
    rows = sheet.parse(f"\ufeff{HEADER}\r\n{ROW}\r\n,,,,,,,,,,\r\n")
    (row,) = rows.values()
    assert row.key == "model/survey:@1"
    assert row.accounts == ("east", "north")


def test_columns_may_be_in_any_order():
    columns = list(reversed(sheet.COLUMNS))
    cells = list(reversed(ROW.split(",")))
    text = ",".join(columns) + "\n" + ",".join(cells)
    assert sheet.parse(text) == sheet.parse(f"{HEADER}\n{ROW}")


def test_every_fault_is_reported_with_row_and_column():
    text = "\n".join(
        [
            HEADER,
            "tool,survey,,1,north,zone-a,1,2,910,50,4096",
            "model,sur vey,,1,north,zone-a,0,2,910,50,4096",
            "model,survey,,1,,zone-a,1,-2,910,50,4096",
            "model,short",
            ROW,
            ROW,
        ]
    )
    with pytest.raises(errors.SheetError) as caught:
        sheet.parse(text)
    locations = [fault.location for fault in caught.value.faults]
    assert locations == [
        "row 2, column kind",
        "row 3, column name",
        "row 3, column priority",
        "row 4, column accounts",
        "row 4, column replicas",
        "row 5",
        "row 7",
    ]


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("kind,name\n", id="columns missing"),
        pytest.param(f"{HEADER},extra\n", id="unknown column"),
        pytest.param(f"{HEADER},kind\n", id="repeated column"),
    ],
)
def test_an_invalid_header_is_rejected(text):
    with pytest.raises(errors.SheetError, match="row 1"):
        sheet.parse(text)
