"""The page of measured rounds, written from journal entries."""

from __future__ import annotations

import json

import pytest

from measurements.rounds import page, read_rounds


def entry(number, command="score", days=(), **fields):
    return {
        "id": f"e{number}",
        "at": [f"2026-12-04T0{number}:00:00Z", ""],
        "cmd": command,
        "site": "yard",
        "head": "0123456789",
        "days": list(days),
        **fields,
    }


def day(name, worth, rules=None, prices=(), parts=()):
    fields = {"rules": rules, "prices": prices, "parts": parts}
    return {"name": name, "G": worth, "score": worth, **fields}


@pytest.fixture
def journal(tmp_path):
    prices = [["machines moved", 3, 0.01], ["seconds of machines in pools", 900, 0.25]]
    prices.append(["memory", 2, 0.005])
    parts = [["whole day", 0.7, 0.9], ["worst windows", 0.3, 0.783333]]
    entries = [
        entry(
            1,
            score=0.5,
            figures={"gate": 1.0},
            days=[
                day("quiet-1", 0.6, prices=prices, parts=parts),
                day("trouble-1", 0.1),
                day("scale-1", 0.3),
            ],
        ),
        entry(2, "hunt", [day("mix", 0.2, {"LOST": 3}), day("mix", 0.3, {})]),
        entry(3, "run"),
    ]
    for number, content in enumerate(entries):
        (tmp_path / f"{number}.json").write_text(json.dumps(content))
    return tmp_path


def test_rounds_are_read_in_order_and_entries_without_a_result_counted(journal):
    rounds, resultless_count = read_rounds(journal.glob("*.json"))
    assert [round_.entry for round_ in rounds] == ["e1", "e2"]
    assert resultless_count == 1
    assert rounds[0].worth_under_load == pytest.approx(0.2)
    assert rounds[1].score is None


def test_the_page_tells_scores_prices_and_broken_rules(journal):
    text = page(*read_rounds(journal.glob("*.json")))
    assert "| 2026-12-04T01:00:00Z | e1 | 0123456 | 0.500 | passed | 0.200 |" in text
    assert "| quiet-1 | 0.600 | 0.070 | 0.065 | 0.250 | 0.000 | 0.010 |" in text
    (row,) = (line for line in text.splitlines() if line.startswith("| quiet-1"))
    assert sum(map(float, row.split(" | ")[1:-1])) + 0.005 == pytest.approx(1.0)
    assert "| e2 | 0123456 | 2 | 1 (LOST) |" in text
    assert "1 without one" in text


def test_a_score_of_sources_that_were_edited_is_marked_and_not_shown_by_day(journal):
    edited = entry(4, score=0.9, edited_meanwhile=True, days=[day("quiet-1", 0.9)])
    (journal / "4.json").write_text(json.dumps(edited))
    text = page(*read_rounds(journal.glob("*.json")))
    assert "| e4 | 0123456* | 0.900 |" in text
    assert "Days of the last score (e1)" in text


def test_an_unreadable_entry_is_an_error_and_not_left_out(tmp_path):
    (tmp_path / "1.json").write_text("{")
    with pytest.raises(ValueError, match="Expecting"):
        read_rounds(tmp_path.glob("*.json"))
