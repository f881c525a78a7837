"""Tests that no decision or message of a host depends on the time of day.

Otherwise a clock that is set back, or that differs from those of other hosts, could
make a host ignore newer messages or expire state too early.
"""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.standins.slot_world import SlotWorld

PACKAGE: Final = Path(__file__).resolve().parents[1] / "src" / "siskinpier"
# Functions that read the time of day, and the modules or classes they belong to.
CLOCK_FUNCTIONS: Final = frozenset(
    {"time", "time_ns", "now", "utcnow", "today", "gmtime"}
)
CLOCK_MODULES: Final = frozenset({"time", "datetime", "date"})
# Functions that may read it: for log lines, the incarnation of a process, a seed, and
# the start of a clock that is monotonic from then on.
ALLOWED: Final = frozenset(
    {
        ("logs.py", "_log"),
        ("edge/host.py", "_make_host_state"),
        ("edge/serving.py", "make_clock"),
        ("platform/process.py", "_make_host_state"),
    }
)
HOSTS: Final = {f"h{n}": f"d{n % 3}" for n in range(24)}
# Limit of the time until all hosts see the new incarnation of a restarted host.
VIEW_UPDATE_LIMIT_S: Final = 1.0


def find_reads(path: Path) -> Iterator[str]:
    """Yield the name of each function in a file that reads the time of day."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for function in ast.walk(tree):
        if not isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        for node in ast.walk(function):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            module = node.func.value
            name = module.id if isinstance(module, ast.Name) else ""
            if name in CLOCK_MODULES and node.func.attr in CLOCK_FUNCTIONS:
                yield function.name


class TestReads:
    """The time of day is read in a few places, none of which makes decisions."""

    def test_only_allowed_functions(self) -> None:
        found = {
            (str(path.relative_to(PACKAGE)), name)
            for path in PACKAGE.rglob("*.py")
            for name in find_reads(path)
        }
        assert found <= ALLOWED
        assert ("logs.py", "_log") in found

    def test_start_times_of_servers_are_only_compared_for_equality(self) -> None:
        compared = [
            f"{path.name}: {ast.unparse(node)}"
            for path in PACKAGE.rglob("*.py")
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.Compare | ast.BinOp)
            and (
                "entry.started" in ast.unparse(node)
                or "flag.started" in ast.unparse(node)
            )
            and not (
                isinstance(node, ast.Compare)
                and all(
                    isinstance(op, ast.Eq | ast.NotEq | ast.In | ast.Is)
                    for op in node.ops
                )
            )
        ]
        assert compared == []


class TestSteps:
    """A host restarts after the time of day was set back."""

    @pytest.mark.parametrize("host", ["h0", "h1", "h2"])
    def test_all_hosts_see_its_new_incarnation(self, host: str) -> None:
        world = SlotWorld(hosts=HOSTS, servers=[])
        fresh = world.restart(host, incarnation_step=-1)
        world.run_for(VIEW_UPDATE_LIMIT_S)
        for name, state in world.states.items():
            if name != host:
                member = state.members[host]
                assert member.incarnation == fresh.identity.incarnation > 1
                assert member.silent_since is None
