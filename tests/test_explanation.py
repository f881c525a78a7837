"""Tests of the explanation of a request from the logs of several hosts."""

from pathlib import Path

import pytest

from siskinpier import cli
from siskinpier.explanation import explain_request

HOLDER = [
    "at=2026-01-01T00:00:01+0000 level=INFO event=route call=r1 service=s target=i-1"
    " reason=granted ms=20",
    "at=2026-01-01T00:00:02+0000 level=INFO event=refuse call=r1 service=s status=504"
    ' verdict=may-have-run reason="Deadline passed" detail="no answer came" ms=1',
    "not a log line",
]
HOME = [
    "at=2026-01-01T00:00:01+0000 level=INFO event=queue call=h1/r1/1 service=s ms=10",
    "at=2026-01-01T00:00:01+0000 level=INFO event=grant call=h1/r1/1 service=s"
    " target=i-1 reason=queued ms=19",
    "at=2026-01-01T00:00:01+0000 level=INFO event=grant call=h1/other/1 target=i-2",
]


class TestExplanation:
    """The lines of all hosts must be merged by time, and the stated cause must fit."""

    def test_lines_in_order(self) -> None:
        explanation = explain_request("r1", [("holder", HOLDER), ("home", HOME)])
        assert [line.event for line in explanation.lines] == [
            "queue",
            "grant",
            "route",
            "refuse",
        ]
        assert explanation.unreadable == 1

    def test_cause_of_call_that_may_have_run(self) -> None:
        explanation = explain_request("r1", [("holder", HOLDER), ("home", HOME)])
        assert "504, verdict may-have-run: Deadline passed" in explanation.cause
        assert "sent to i-1" in explanation.cause

    def test_cause_of_slow_answer(self) -> None:
        line = (
            "event=answer call=r1 target=i-1 latency_s=1.1 total_s=1.2 slowdown=7.0"
            " attempt=1"
        )
        cause = explain_request("r1", [("a", [line])]).cause
        assert "after 1.2 s" in cause
        assert "7.0 times slower" in cause

    def test_cause_of_answer_after_wait(self) -> None:
        lines = [
            "event=queue call=r1 service=s",
            "event=route call=r1 target=i-1 attempt=1 waited_s=0.8",
            "event=answer call=r1 target=i-1 latency_s=0.1 total_s=0.9 slowdown=1.0",
        ]
        cause = explain_request("r1", [("a", lines)]).cause
        assert "it waited 0.8 s for a slot" in cause

    def test_cause_of_call_with_lost_grant(self) -> None:
        refusal = HOLDER[1].replace("may-have-run", "not-run")
        cause = explain_request("r1", [("holder", [refusal]), ("home", HOME)]).cause
        assert "sent to no backend server" in cause
        assert "though its home granted a slot at i-1" in cause

    def test_unknown_request(self) -> None:
        assert explain_request("r9", [("a", HOLDER)]).lines == []

    @pytest.mark.parametrize("text", ["event=", "event=x call=", "=", '"', "a=b\0"])
    def test_malformed_lines_do_not_fail(self, text: str) -> None:
        explain_request("r1", [("a", [text])])

    def test_command(self, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
        path = tmp_path / "a.log"
        path.write_text("\n".join(HOLDER))
        assert cli.run(["explain", "r1", str(path)]) == 0
        out = capsys.readouterr().out
        assert out.splitlines()[-2].startswith("cause: refused with 504")
        assert cli.run(["explain", "r9", str(path)]) == 3
