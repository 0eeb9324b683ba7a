"""The page: tables follow the results, prose stays, and the repository's page is what its results give."""

from pathlib import Path

import pytest

from irisstack.__main__ import main
from irisstack.lab.capacity import registry, result, rows, tables
from irisstack.lab.capacity.outlook import Outlook, join
from irisstack.lab.capacity.page import PageError, differing, written
from irisstack.lab.capacity.result import Point, ResultError, SlopeResult
from irisstack.lab.capacity.template import TemplateError, fill, slopes_in
from tests.lab.capacity.support import expected
from tests.lab.capacity.support import result as made

ROOT = Path(__file__).resolve().parents[3]
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "docs" / "measurements" / "capacity"
BLANK = "# A page\n\n" + "\n".join(
    f"prose before {name}\n<!-- table: {name} -->\n<!-- end: {name} -->" for name in tables.TABLES
)


def outlook(*budgets: float) -> Outlook:
    return join({"a": made("a", lambda size: size)}, [expected("a", *budgets), expected("b", 1.0)])


def test_the_page_is_what_its_results_give() -> None:
    found = join(result.load_all(RESULTS), registry.EXPECTED)
    assert differing(PAGE.read_text(), found) == [], "irisstack lab capacity write"


def test_every_slope_that_a_row_takes_up_is_expected() -> None:
    texts = [
        text
        for row in (*rows.load().roles, *rows.load().numbers, *rows.load().failures)
        for text in (getattr(row, name) for name in row.__struct_fields__)
    ]
    named = {name for text in texts for name in slopes_in(text)}
    results = {name: made(name, lambda size: size) for name in named}
    assert [o.result.slope for o in join(results, registry.EXPECTED).measured if o.expected is None] == []


def test_a_changed_slope_changes_the_page_and_prose_stays() -> None:
    page = written(BLANK, outlook(1e6))
    assert differing(page, outlook(1e6)) == []
    assert "prose before ranking" in page
    steeper = join({"a": made("a", lambda size: 2.0 * size)}, [expected("a", 1e6), expected("b", 1.0)])
    assert set(differing(page, steeper)) == {"ranking", "slopes", "points"}


def test_a_cell_over_its_budget_is_marked_and_one_within_it_is_not() -> None:
    assert "over budget" in tables.ranking_table(outlook(1e5))
    assert "over budget" not in tables.ranking_table(outlook(1e7))


def test_what_was_not_measured_says_so_in_every_table() -> None:
    found = outlook(1e6)
    assert "not measured" in tables.ranking_table(found).splitlines()[-1]
    assert "not measured" in tables.slope_table(found).splitlines()[-1]
    assert fill("costs {b}", found) == "costs not measured"


def test_texts_take_up_values_sizes_multiples_and_targets() -> None:
    found = outlook(5e5)
    assert fill("{a}", found) == "**1 MB, over budget**"
    assert fill("{a@1000}", found) == "1 KB"
    assert fill("{a@NODES}", found) == "840 B"
    assert fill("{a*420}", found) == "420 MB"
    assert fill("{NODES} nodes", found) == "840 nodes"
    with pytest.raises(TemplateError, match="NOBODY"):
        fill("{NOBODY}", found)


@pytest.mark.parametrize(
    "page",
    ["", BLANK.replace("<!-- end: roles -->", ""), BLANK + "\n" + BLANK],
    ids=["none", "open", "twice"],
)
def test_bad_markers_are_refused(page: str) -> None:
    with pytest.raises(PageError, match="ranking"):
        written(page, outlook(1.0))


def test_the_command_writes_and_then_agrees(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    page = tmp_path / "page.md"
    page.write_text(BLANK)
    result.save(tmp_path / "results", made("module-memory", lambda size: 1_000.0 * size))
    places = ["--results", str(tmp_path / "results"), "--page", str(page)]
    assert main(["lab", "capacity", "check", *places]) == 1
    assert "ranking" in capfd.readouterr().err
    assert main(["lab", "capacity", "write", *places]) == 0
    assert main(["lab", "capacity", "check", *places]) == 0
    (tmp_path / "results" / "module-memory.json").write_text("{}")
    assert main(["lab", "capacity", "check", *places]) == 1
    assert "Traceback" not in capfd.readouterr().err


def test_an_unknown_measurement_is_asked_wrongly(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["lab", "capacity", "measure", "luck"]) == 2
    assert "module-memory" in capfd.readouterr().err


def test_a_result_comes_back_as_it_was_saved(tmp_path: Path) -> None:
    saved = made("a", lambda size: size)
    assert result.load(result.save(tmp_path, saved)) == saved


@pytest.mark.parametrize(
    ("old", "new", "due"),
    [
        ('"slope": "a"', '"slope": "b"', "as the file is named"),
        ('"runs": 1', '"runs": "many"', "points"),
        ('"notes": ""', '"note": ""', "unknown field"),
    ],
)
def test_a_bad_result_file_is_told_with_its_path(tmp_path: Path, old: str, new: str, due: str) -> None:
    path = result.save(tmp_path, made("a", lambda size: size))
    path.write_text(path.read_text().replace(old, new))
    with pytest.raises(ResultError, match=due) as error:
        result.load(path)
    assert str(path) in str(error.value)


def test_a_size_that_stands_twice_is_refused(tmp_path: Path) -> None:
    twice: SlopeResult = made("a", lambda size: size, sizes=(10.0, 10.0, 20.0, 30.0))
    assert twice.points[0] == Point(10.0, 10.0, 1)
    with pytest.raises(ResultError, match="each once"):
        result.load(result.save(tmp_path, twice))
