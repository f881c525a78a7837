"""Plots of latency against load for each policy."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from bench.policies import Policy  # noqa: E402
from bench.report import compute_median  # noqa: E402
from bench.trial import Fault, Outcome  # noqa: E402


def draw_latency(outcomes: list[Outcome], path: Path) -> None:
    """Plot p99 against load, with one panel per service and one line per policy."""
    service_names = sorted({outcome.trial.service_size.name for outcome in outcomes})
    figure, panels = plt.subplots(
        1, len(service_names), figsize=(6 * len(service_names), 4.5)
    )
    axes = panels if len(service_names) > 1 else [panels]
    for panel, service_name in zip(axes, service_names, strict=True):
        plotted = [
            o
            for o in outcomes
            if o.trial.service_size.name == service_name and o.trial.fault is Fault.NONE
        ]
        for policy in Policy:
            for group in ("all", "urgent"):
                if group == "urgent" and policy is not Policy.SISKINPIER:
                    continue
                _draw_line(panel, plotted, policy, group)
        panel.set_title(service_name)
        panel.set_xlabel("load, share of slots")
        panel.set_ylabel("p99 latency, ms")
        panel.set_yscale("log")
        panel.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    plt.close(figure)


def _is_drawn(outcome: Outcome, policy: Policy) -> bool:
    trial = outcome.trial
    has_default_hedging = trial.hedge_share > 0.0 or policy is not Policy.SISKINPIER
    return trial.policy is policy and trial.load <= 1.2 and has_default_hedging


def _draw_line(
    panel: Axes, outcomes: list[Outcome], policy: Policy, group: str
) -> None:
    policy_outcomes = [o for o in outcomes if _is_drawn(o, policy)]
    loads = sorted({o.trial.load for o in policy_outcomes})
    values = [
        compute_median([o for o in policy_outcomes if o.trial.load == load], group, 2)
        for load in loads
    ]
    label = f"{policy}, {group}" if policy is Policy.SISKINPIER else str(policy)
    style = "--" if group == "urgent" else "-"
    panel.plot(loads, [v * 1000 for v in values], style, marker="o", label=label)
