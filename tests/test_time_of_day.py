"""Nothing that hosts decide or tell each other depends on the time of day."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.standins.slot_world import SlotWorld

PACKAGE: Final = Path(__file__).resolve().parents[1] / "src" / "siskinpier"
# Calls that read the time of day, by the name of their function.
READERS: Final = frozenset({"time", "time_ns", "now", "utcnow", "today", "gmtime"})
MODULES: Final = frozenset({"time", "datetime", "date"})
# Where it may be read: log lines, the number of a process's life, a seed, and the
# start of a clock that never steps afterwards.
ALLOWED: Final = frozenset(
    {
        ("logs.py", "_log"),
        ("edge/host.py", "_make_host_state"),
        ("edge/serving.py", "make_clock"),
        ("platform/process.py", "_make_host_state"),
    }
)
HOSTS: Final = {f"h{n}": f"d{n % 3}" for n in range(24)}
BOUND_S: Final = 1.0


def find_reads(path: Path) -> Iterator[str]:
    """Yield the names of the functions of a file that read the time of day."""
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
            if name in MODULES and node.func.attr in READERS:
                yield function.name


class TestReads:
    """The time of day is read in a few places, none of which decides."""

    def test_only_where_it_may_be(self) -> None:
        found = {
            (str(path.relative_to(PACKAGE)), name)
            for path in PACKAGE.rglob("*.py")
            for name in find_reads(path)
        }
        assert found <= ALLOWED
        assert ("logs.py", "_log") in found

    def test_starts_of_servers_are_only_told_apart(self) -> None:
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
    """A host starts anew after the time of day stepped back."""

    @pytest.mark.parametrize("host", ["h0", "h1", "h2"])
    def test_all_know_its_new_life(self, host: str) -> None:
        world = SlotWorld(hosts=HOSTS, servers=[])
        fresh = world.restart(host, later=-1)
        world.run_for(BOUND_S)
        for name, state in world.states.items():
            if name != host:
                member = state.members[host]
                assert member.incarnation == fresh.identity.incarnation > 1
                assert member.silent_since is None
