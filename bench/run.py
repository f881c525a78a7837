"""Compare siskinpier with the baseline policies and write docs/MEASUREMENTS.md.

`python -m bench.run` takes some minutes, with `--quick` less than one. Runs with
the same seed have the same arrivals for all policies.
"""

import sys
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from bench.decision_cost import make_table
from bench.plots import draw_latency
from bench.policies import Policy
from bench.report import write_report
from bench.trial import LISTINGS, SEARCH, Fault, Outcome, ServiceSize, Trial, run_trial

PROCESS_COUNT: Final = 4
LOADS: Final = (0.5, 0.7, 0.85, 1.2)
FAULT_LOAD: Final = 0.85
OVERLOADS: Final = (2.0, 4.0, 10.0)
# Load and fault of the additional trials without hedging.
UNHEDGED: Final = (
    (0.5, Fault.NONE),
    (FAULT_LOAD, Fault.NONE),
    (FAULT_LOAD, Fault.SLOW),
)
DOCS: Final = Path("docs")


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Scope of a measurement; `length_s` and `overload_s` are seconds per trial."""

    service_sizes: tuple[ServiceSize, ...]
    seeds: tuple[int, ...]
    length_s: float
    overload_s: float


FULL: Final = Plan(
    service_sizes=(SEARCH, LISTINGS), seeds=(1, 2, 3), length_s=4.0, overload_s=1.0
)
QUICK: Final = Plan(service_sizes=(SEARCH,), seeds=(1,), length_s=1.0, overload_s=0.4)


def list_trials(plan: Plan) -> Iterable[Trial]:
    """Yield the trials of a plan; for each service size and seed, the longest first."""
    combinations = [
        (service_size, seed)
        for service_size in plan.service_sizes
        for seed in plan.seeds
    ]
    for service_size, seed in combinations:
        for load in reversed(OVERLOADS):
            yield Trial(
                service_size=service_size,
                policy=Policy.SISKINPIER,
                load=load,
                seed=seed,
                length_s=plan.overload_s,
            )
        for load in reversed(LOADS):
            for policy in Policy:
                yield Trial(
                    service_size=service_size,
                    policy=policy,
                    load=load,
                    seed=seed,
                    length_s=plan.length_s,
                )
        for fault in list(Fault)[1:]:
            for policy in (Policy.SISKINPIER, Policy.LEAST_OUTSTANDING):
                yield Trial(
                    service_size=service_size,
                    policy=policy,
                    load=FAULT_LOAD,
                    fault=fault,
                    seed=seed,
                    length_s=plan.length_s,
                )
        for load, fault in UNHEDGED:
            yield Trial(
                service_size=service_size,
                policy=Policy.SISKINPIER,
                load=load,
                fault=fault,
                seed=seed,
                length_s=plan.length_s,
                hedge_share=0.0,
            )


def run_all(trials: list[Trial]) -> list[Outcome]:
    """Run trials in a process pool and return their outcomes in order."""
    with ProcessPoolExecutor(max_workers=PROCESS_COUNT) as pool:
        return list(pool.map(run_trial, trials))


def main() -> None:
    """Run a plan, then print its tables or write the page and the plot."""
    is_quick = "--quick" in sys.argv[1:]
    plan = QUICK if is_quick else FULL
    started = time.perf_counter()
    outcomes = run_all(list(list_trials(plan)))
    duration_s = time.perf_counter() - started
    DOCS.mkdir(exist_ok=True)
    page_path = None if is_quick else DOCS / "MEASUREMENTS.md"
    text = write_report(outcomes, page_path, duration_s, make_table())
    if is_quick:
        print(text)
        return
    draw_latency(outcomes, DOCS / "latency-by-load.png")
    print(f"wrote {page_path} in {duration_s:.0f} s")


if __name__ == "__main__":
    main()
