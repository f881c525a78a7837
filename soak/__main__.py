"""`python -m soak run --seed N`; also `many`, `planted` and `regressions`.

A failure leaves its seed, schedule, history and logs in one folder.
"""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Final

import anyio
import fire

from .planted import FAULTS
from .run import Outcome, Plan, play

REGRESSIONS: Final = Path(__file__).with_name("regressions") / "seeds.txt"


def run(
    *,
    seed: int,
    length_s: float = 20.0,
    hosts: int = 6,
    servers: int = 9,
    callers: int = 12,
    planted: str = "",
    timed: bool = True,
    folder: str = "",
) -> None:
    """Play one seed; exit with 1 if a promise was broken."""
    root = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    plan = Plan(
        seed=seed,
        folder=root / f"seed-{seed}",
        length_s=length_s,
        hosts=hosts,
        servers=servers,
        callers=callers,
        planted=planted,
        is_timed=timed,
    )
    outcome = anyio.run(play, plan)
    _tell(plan, outcome)
    if outcome.breaches:
        sys.exit(1)


def many(
    *, seeds: int = 10, first: int = 0, length_s: float = 20.0, folder: str = ""
) -> None:
    """Play seeds from `first` on, or fresh ones; exit with 1 after a breach."""
    root = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    first = first or int(time.time()) * 1000
    failed = 0
    for seed in range(first, first + seeds):
        plan = Plan(seed=seed, folder=root / f"seed-{seed}", length_s=length_s)
        outcome = anyio.run(play, plan)
        _tell(plan, outcome)
        failed += bool(outcome.breaches)
    print(f"{seeds} seeds from {first}, {failed} with a broken promise", flush=True)
    if failed:
        sys.exit(1)


def planted(*, first: int = 1, seeds: int = 12) -> None:
    """Play a product with each planted fault until it is found; exit with 1 if not."""
    missed = []
    for name in FAULTS:
        for seed in range(first, first + seeds):
            root = Path(tempfile.mkdtemp(prefix="soak-planted-"))
            plan = Plan(seed=seed, folder=root / name, planted=name)
            outcome = anyio.run(play, plan)
            print(name, end=" ")
            _tell(plan, outcome)
            if outcome.breaches:
                break
        else:
            missed.append(name)
    if missed:
        print(f"not found: {', '.join(missed)}")
        sys.exit(1)


def regressions() -> None:
    """Play each seed that ever failed."""
    for line in REGRESSIONS.read_text().splitlines():
        if line and not line.startswith("#"):
            run(seed=int(line.split()[0]))


def _tell(plan: Plan, outcome: Outcome) -> None:
    rules = dict(Counter(breach.rule for breach in outcome.breaches))
    kept = f" kept in {plan.folder}" if rules else ""
    print(
        f"seed {plan.seed}: asked {outcome.asked}, served {outcome.served},"
        f" broken {rules or 'none'}{kept}",
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
