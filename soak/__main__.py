"""Command line: `python -m soak run --seed N`, `many`, `planted` and `regressions`.

If a run violates a guarantee, its schedule, history and logs are kept in one folder,
named after the seed.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

import anyio
import fire

from .planted import BUGS
from .run import Outcome, RunConfig, run_schedule
from .schedule import LEFT_OUT_KINDS

REGRESSIONS_PATH: Final = Path(__file__).with_name("regressions") / "seeds.txt"


def run(
    *,
    seed: int,
    length_s: float = 20.0,
    hosts: int = 6,
    servers: int = 9,
    callers: int = 12,
    planted: str = "",
    timed: bool = True,
    every: bool = False,
    earlier: str = "",
    folder: str = "",
) -> None:
    """Run one seed; exit with 1 if a guarantee was violated.

    `every` includes the kinds of faults that are left out at present. With `earlier`,
    a commit, all hosts begin with its build and are upgraded one after the other.
    """
    root = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    config = RunConfig(
        seed=seed,
        folder=root / f"seed-{seed}",
        length_s=length_s,
        hosts=hosts,
        servers=servers,
        callers=callers,
        planted=planted,
        has_time_limits=timed,
        earlier=earlier,
        left_out=frozenset() if every else LEFT_OUT_KINDS,
    )
    outcome = anyio.run(run_schedule, config)
    _print_outcome(config, outcome)
    if outcome.violations:
        sys.exit(1)


def many(
    *, seeds: int = 10, first: int = 0, length_s: float = 20.0, folder: str = ""
) -> None:
    """Run consecutive seeds, starting with `first`.

    If `first` is 0, it is derived from the current time. Exits with 1 if a guarantee
    was violated.
    """
    root = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    first = first or int(time.time()) * 1000
    failed = 0
    for seed in range(first, first + seeds):
        config = RunConfig(seed=seed, folder=root / f"seed-{seed}", length_s=length_s)
        outcome = anyio.run(run_schedule, config)
        _print_outcome(config, outcome)
        failed += bool(outcome.violations)
    print(f"{seeds} seeds from {first}, {failed} with violations", flush=True)
    if failed:
        sys.exit(1)


def planted(*, first: int = 1, seeds: int = 12, only: str = "") -> None:
    """Run seeds with each planted bug until one of its rules finds it.

    Exits with 1 if a bug is not found. `only` is a list of bugs, separated by commas.
    """
    missed = []
    for name in only.split(",") if only else BUGS:
        for seed in range(first, first + seeds):
            root = Path(tempfile.mkdtemp(prefix="soak-planted-"))
            config = RunConfig(seed=seed, folder=root / name, planted=name)
            outcome = anyio.run(run_schedule, config)
            print(name, end=" ")
            _print_outcome(config, outcome)
            if BUGS[name][1] & {v.rule for v in outcome.violations}:
                break
        else:
            missed.append(name)
    if missed:
        print(f"not found: {', '.join(missed)}")
        sys.exit(1)


def regressions() -> None:
    """Run each seed that ever failed."""
    for line in REGRESSIONS_PATH.read_text().splitlines():
        if line and not line.startswith("#"):
            run(seed=int(line.split()[0]))


def _print_outcome(config: RunConfig, outcome: Outcome) -> None:
    rules = dict(Counter(violation.rule for violation in outcome.violations))
    kept = f", kept in {config.folder}" if rules else ""
    print(
        f"seed {config.seed}: {outcome.request_count} requests,"
        f" {outcome.served_count} served, violations: {rules or 'none'}{kept}",
        flush=True,
    )


if __name__ == "__main__":
    commands = {
        "run": run,
        "many": many,
        "planted": planted,
        "regressions": regressions,
    }
    fire.Fire(commands)
