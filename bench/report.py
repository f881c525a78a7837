"""Markdown tables of the policy measurements."""

import os
import platform
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Final

from bench.load import BURST_FACTOR, BURST_S, CYCLE_S, URGENT_SHARE
from bench.policies import Policy
from bench.trial import (
    HOST_COUNT,
    MEAN_SERVICE_TIME_S,
    PERCENTILES,
    Fault,
    Outcome,
    Trial,
)

OVERLOADS: Final = (1.2, 2.0, 4.0, 10.0)
# Positions in PERCENTILES.
P99_INDEX: Final = 2
P999_INDEX: Final = 3
BEGIN_MARKER: Final = "<!-- bench.run: begin -->"
END_MARKER: Final = "<!-- bench.run: end -->"
GROUPS: Final = ("all", "urgent", "normal")


def write_report(
    outcomes: list[Outcome], path: Path | None, duration_s: float, costs: str
) -> str:
    """Return the tables, and write them between the markers of `path` if given."""
    sections = [_describe(outcomes, duration_s)]
    for service_name in sorted({o.trial.service_size.name for o in outcomes}):
        service_outcomes = [
            o for o in outcomes if o.trial.service_size.name == service_name
        ]
        trial = service_outcomes[0].trial
        title = (
            f"### {service_name}: {trial.service_size.servers} servers"
            f" of {trial.service_size.slots}"
        )
        sections += [
            title,
            _make_goal_table(service_outcomes),
            _make_load_table(service_outcomes),
            _make_fault_table(service_outcomes),
        ]
        sections += [_make_overload_table(service_outcomes)]
    sections += [f"### Cost of one decision\n\n{costs}"]
    text = "\n\n".join(section for section in sections if section) + "\n"
    if path is not None:
        old = path.read_text(encoding="utf-8") if path.exists() else "# Measurements\n"
        head, _, rest = old.partition(BEGIN_MARKER)
        tail = rest.partition(END_MARKER)[2]
        page = (
            f"{head.rstrip()}\n\n{BEGIN_MARKER}\n\n{text}\n"
            f"{END_MARKER}{tail or chr(10)}"
        )
        path.write_text(page, encoding="utf-8")
    return text


def compute_median(outcomes: list[Outcome], group: str, index: int) -> float:
    """Return the median of one percentile over the seeds, in seconds."""
    return statistics.median(o.latencies[group][index] for o in outcomes)


def _describe(outcomes: list[Outcome], duration_s: float) -> str:
    seeds = sorted({o.trial.seed for o in outcomes})
    length_s = max(o.trial.length_s for o in outcomes)
    return (
        "## Policy in virtual time\n\n"
        f"Machine: {platform.machine()}, {os.cpu_count()} cores, Python "
        f"{platform.python_version()}; {len(outcomes)} runs in {duration_s:.0f} s. "
        f"Real cores on {HOST_COUNT} hosts; service times are exponential with mean "
        f"{MEAN_SERVICE_TIME_S * 1000:.0f} ms; Poisson arrivals with bursts of "
        f"{BURST_S * 1000:.0f} ms at {BURST_FACTOR:.0f} times the rate between them, "
        f"one each {CYCLE_S * 1000:.0f} ms; urgent share {URGENT_SHARE:.0%}. "
        f"Seeds {', '.join(map(str, seeds))}; {length_s:.0f} s per run after warm-up. "
        "Latencies in ms as callers see them (3 ms each way), median over the seeds "
        "with lowest and highest; rates are per second, summed over all hosts. "
        "`one-queue` is a bound, not a policy: all slots behind one FIFO queue."
    )


def _make_goal_table(outcomes: list[Outcome]) -> str:
    siskinpier, local = Policy.SISKINPIER, Policy.LEAST_OUTSTANDING
    at_85 = _filter_outcomes(outcomes, siskinpier, 0.85)
    baseline = _filter_outcomes(outcomes, local, 0.85)
    bound = _filter_outcomes(outcomes, Policy.ONE_QUEUE, 0.85)
    rows = [
        ("p99 / least-outstanding, 85 %", at_85, baseline, "all", P99_INDEX, 0.5),
        ("p99.9 / least-outstanding, 85 %", at_85, baseline, "all", P999_INDEX, 0.4),
        (
            "urgent p99 / least-outstanding, 85 %",
            at_85,
            baseline,
            "urgent",
            P99_INDEX,
            None,
        ),
        (
            "bound: one-queue p99 / least-outstanding",
            bound,
            baseline,
            "all",
            P99_INDEX,
            None,
        ),
        ("bound: one-queue p99.9 / same", bound, baseline, "all", P999_INDEX, None),
    ]
    rows.append(
        (
            "urgent p99 at 120 % / at 50 %",
            _filter_outcomes(outcomes, siskinpier, 1.2),
            _filter_outcomes(outcomes, siskinpier, 0.5),
            "urgent",
            P99_INDEX,
            1.3,
        )
    )
    slowed = _filter_outcomes(outcomes, siskinpier, 0.85, Fault.SLOW)
    slowed_baseline = _filter_outcomes(outcomes, local, 0.85, Fault.SLOW)
    for name, index, goal in (("p99", P99_INDEX, 0.5), ("p99.9", P999_INDEX, 0.4)):
        label = f"{name} / least-outstanding, 85 %, both with one server slow"
        rows.append((label, slowed, slowed_baseline, "all", index, goal))
    for fault in list(Fault)[1:]:
        run = _filter_outcomes(outcomes, siskinpier, 0.85, fault)
        rows.append((f"p99 with {fault} / without", run, at_85, "all", P99_INDEX, 1.5))
    lines = ["| ratio | median | lowest-highest | goal | |", "|---|---|---|---|---|"]
    for name, numerators, denominators, group, index, limit in rows:
        ratios = _compute_ratios(numerators, denominators, group, index)
        median_value = statistics.median(ratios)
        spread = f"{min(ratios):.2f}-{max(ratios):.2f}"
        verdict = "" if limit is None else "met" if median_value <= limit else "missed"
        goal_text = "" if limit is None else f"{limit}"
        lines.append(
            f"| {name} | {median_value:.2f} | {spread} | {goal_text} | {verdict} |"
        )
    lines.append(_make_goodput_row(outcomes))
    return "\n".join(lines)


def _make_goodput_row(outcomes: list[Outcome]) -> str:
    """Return the row for the ratio of lowest to highest goodput in overload."""
    runs = [_filter_outcomes(outcomes, Policy.SISKINPIER, load) for load in OVERLOADS]
    ratios = []
    for seed_runs in zip(*runs, strict=True):
        goodputs = [o.goodput for o in seed_runs]
        ratios.append(min(goodputs) / max(goodputs))
    median_value = statistics.median(ratios)
    spread = f"{min(ratios):.2f}-{max(ratios):.2f}"
    verdict = "met" if median_value >= 0.9 else "missed"
    name = "lowest goodput at 120, 200, 400, 1000 % / highest"
    return f"| {name} | {median_value:.2f} | {spread} | 0.9 at least | {verdict} |"


def _make_load_table(outcomes: list[Outcome]) -> str:
    selected = [
        o for o in outcomes if o.trial.fault is Fault.NONE and o.trial.load <= 1.2
    ]
    return _make_table(selected, lambda t: (f"{t.load:.0%}", _name_policy(t)))


def _make_fault_table(outcomes: list[Outcome]) -> str:
    selected = [o for o in outcomes if o.trial.fault is not Fault.NONE]
    return _make_table(selected, lambda t: (str(t.fault), _name_policy(t)))


def _name_policy(trial: Trial) -> str:
    has_default_hedging = (
        trial.policy is not Policy.SISKINPIER or trial.hedge_share > 0.0
    )
    return str(trial.policy) + ("" if has_default_hedging else ", no hedge")


def _make_overload_table(outcomes: list[Outcome]) -> str:
    lines = [
        "| load | goodput, calls/s | refused | urgent p99, ms |",
        "|---|---|---|---|",
    ]
    for load in OVERLOADS:
        runs = _filter_outcomes(outcomes, Policy.SISKINPIER, load)
        goodput = statistics.median(o.goodput for o in runs)
        refused = statistics.median(o.refused / o.calls for o in runs)
        urgent = compute_median(runs, "urgent", P99_INDEX) * 1000
        lines.append(f"| {load:.0%} | {goodput:.0f} | {refused:.1%} | {urgent:.0f} |")
    return "\n".join(lines)


def _make_table(
    outcomes: list[Outcome], name: Callable[[Trial], tuple[str, str]]
) -> str:
    """Return a table with a row for each group of calls under each name."""
    rows: dict[tuple[str, str], list[Outcome]] = {}
    for outcome in outcomes:
        rows.setdefault(name(outcome.trial), []).append(outcome)
    heads = [f"p{p:g}" for p in PERCENTILES]
    lines = [
        f"| run | policy | calls | {' | '.join(heads)} | refused | failed "
        "| forwards/s | messages/s | kB/s | probes/s |",
        "|---" * (9 + len(heads)) + "|",
    ]
    for key, runs in sorted(rows.items()):
        for group in GROUPS:
            cells = [*key, group]
            cells += [_format_spread(runs, group, i) for i in range(len(heads))]
            cells += _format_rates(runs) if group == "all" else [""] * 6
            lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _format_spread(runs: list[Outcome], group: str, index: int) -> str:
    values = [o.latencies[group][index] * 1000 for o in runs]
    median_value = statistics.median(values)
    return f"{median_value:.0f} ({min(values):.0f}-{max(values):.0f})"


def _format_rates(runs: list[Outcome]) -> list[str]:
    calls = sum(o.calls for o in runs)
    return [
        f"{sum(o.refused for o in runs) / calls:.2%}",
        f"{sum(o.failed for o in runs) / calls:.2%}",
        f"{statistics.median(o.forwards for o in runs):.0f}",
        f"{statistics.median(o.messages for o in runs):.0f}",
        f"{statistics.median(o.message_bytes for o in runs) / 1000:.0f}",
        f"{statistics.median(o.probes for o in runs):.1f}",
    ]


def _filter_outcomes(
    outcomes: list[Outcome], policy: Policy, load: float, fault: Fault = Fault.NONE
) -> list[Outcome]:
    runs = [
        o
        for o in outcomes
        if o.trial.policy is policy
        and o.trial.load == load
        and o.trial.fault is fault
        and (o.trial.hedge_share or policy is not Policy.SISKINPIER)
    ]
    return sorted(runs, key=lambda o: o.trial.seed)


def _compute_ratios(
    numerators: list[Outcome], denominators: list[Outcome], group: str, index: int
) -> list[float]:
    return [
        a.latencies[group][index] / b.latencies[group][index]
        for a, b in zip(numerators, denominators, strict=True)
    ]
