"""Tests for the handling of the tests listed in KNOWN-RED.txt."""

from pathlib import Path

import pytest

from tests.conftest import parse_known_red

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).with_name("conftest.py").read_text(encoding="utf-8")
MODULE = """
import pytest

def test_good(): pass
def test_bad(): assert False
@pytest.fixture
def broken(): raise RuntimeError
def test_setup(broken): pass
@pytest.mark.parametrize("text", ["a b"])
def test_case(text): assert False
"""
BAD = "test_it.py::test_bad | make test | assert False | 1\n"
SETUP = "test_it.py::test_setup | make test | RuntimeError | 2\n"
CASE = "test_it.py::test_case[a b] | make test | assert False | 3\n"
GOOD = "test_it.py::test_good | make test | once failed | 4\n"


class TestKnownRed:
    """Failures of listed tests do not fail the run, and all others do."""

    @pytest.mark.parametrize(
        ("listed", "exit_code", "lines"),
        [
            ("# only a comment\n", 1, ["FAILED test_it.py::test_bad*"]),
            (BAD, 1, ["known red: test_it.py::test_bad"]),
            (BAD + SETUP, 1, ["known red: test_it.py::test_setup"]),
            (BAD + SETUP + CASE, 0, ["known red: test_it.py::test_case[[]a b]"]),
            (BAD + SETUP + CASE + GOOD, 0, ["passes now: test_it.py::test_good"]),
        ],
    )
    def test_verdict(
        self,
        pytester: pytest.Pytester,
        listed: str,
        exit_code: int,
        lines: list[str],
    ) -> None:
        pytester.makeconftest(CONFTEST)
        pytester.makepyfile(test_it=MODULE)
        (pytester.path / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
        result = pytester.runpytest("-p", "no:cacheprovider")
        assert result.ret == exit_code
        result.stdout.fnmatch_lines(lines)

    def test_no_list(self, pytester: pytest.Pytester) -> None:
        pytester.makeconftest(CONFTEST)
        pytester.makepyfile(test_it=MODULE)
        result = pytester.runpytest("-p", "no:cacheprovider")
        result.assert_outcomes(passed=1, failed=2, errors=1)

    def test_parse(self) -> None:
        text = f"# comment\n\n{BAD}{CASE}"
        ids = {"test_it.py::test_bad", "test_it.py::test_case[a b]"}
        assert parse_known_red(text) == ids
