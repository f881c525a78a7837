"""Generate the tables of docs/CAPACITY.md from new measurements.

`python -m bench.capacity` runs all measurements and replaces the sections of
the page between its markers.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final

from . import claims_cost, cluster_costs, core_costs, hop, process_costs
from .slopes import Slope, fit_slope, measure_bytes, render_table

PAGE_PATH: Final = Path(__file__).resolve().parents[1] / "docs" / "CAPACITY.md"
CLUSTER_COMMAND: Final = "python -m bench.cluster_costs"
HOP_COMMAND: Final = "python -m bench.hop"
CLUSTER_SIZES: Final = (6, 18, 54)
HOP_CONNECTIONS: Final = (1, 4, 16)
CLAIMS_COMMAND: Final = "python -m bench.claims_cost"
CLAIM_RATES_PER_S: Final = (10, 100, 1_000)
KEY_COUNTS: Final = (1_000, 10_000, 50_000)

# Expected load in two years, and the limits that the users set for it.
SERVER_COUNT: Final = 1_300
SERVICE_COUNT: Final = 48
CALLS_PER_S: Final = 130_000
DOMAIN_COUNT: Final = 5
CHANGES_PER_DAY: Final = 1_500
PROPAGATION_TARGET_S: Final = 4.0
ADDED_P99_TARGET_MS: Final = 0.78
MAX_CONTROL_CORE_SHARE: Final = 0.01
MAX_CONTROL_BYTES_PER_S: Final = 6_000
MAX_PLATFORM_WRITES_PER_S: Final = 300
MAX_PLATFORM_READS_PER_S: Final = 2_000
MAX_CONTROL_MEMORY_BYTES: Final = 32_000_000
SECONDS_PER_DAY: Final = 86_400
# A host process that uses more than this share of a core needs a second host.
MAX_CORE_SHARE: Final = 0.6
WATCHERS_PER_DOMAIN: Final = 2
# Keys stored in one day at 100 keyed calls per second.
KEYS_PER_DAY: Final = 100 * 86_400


_GetCost = Callable[[cluster_costs.ClusterCost], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row of the table of costs by role."""

    role: str
    cost: str
    value: float
    unit: str
    target: float | None
    mechanism: str

    def render(self) -> str:
        """Return the row in Markdown, including whether the target is met."""
        target = "" if self.target is None else f"{self.target:,.4g}"
        return (
            f"| {self.role} | {self.cost} | {self.value:,.4g} {self.unit} | {target} "
            f"| {self.format_state()} | {self.mechanism} |"
        )

    def format_state(self) -> str:
        """Return "met", or by which factor the target is missed, or "" without one."""
        if self.target is None:
            return ""
        if self.value <= self.target:
            return "met"
        return f"missed, {self.value / self.target:.2g} times"


class MeasuredSlopes:
    """All measured slopes, one attribute for each cost.

    `cluster` holds the slopes of coordination, by message kind or by cost.
    """

    def __init__(self) -> None:
        core = core_costs.measure_all()
        process = process_costs.measure_all()
        self.call_us, self.heartbeat_us, self.change_us = core[0], core[1], core[2]
        self.notice_bytes, self.server_bytes, self.member_bytes = core[3:6]
        self.connection_bytes, self.idle_cpu_percent, self.process_bytes = process
        self.hop_us, self.hop_added_ms = _measure_hop()
        self.cluster = _measure_cluster()
        self.claim_ms, self.claim_writes = _measure_claims()
        self.key_bytes = _measure_keys()

    def list_slopes(self) -> list[Slope]:
        """Return the slopes in the order of the page's first table."""
        return [
            self.hop_us,
            self.hop_added_ms,
            self.call_us,
            self.heartbeat_us,
            self.change_us,
            self.notice_bytes,
            self.server_bytes,
            self.member_bytes,
            self.connection_bytes,
            self.idle_cpu_percent,
            self.process_bytes,
            *self.cluster.values(),
            self.claim_ms,
            self.claim_writes,
            self.key_bytes,
        ]


def make_rows(slopes: MeasuredSlopes) -> list[Row]:
    """Return the cost of each role at the target load."""
    hosts = compute_host_count(slopes)
    homes_per_host = SERVICE_COUNT * DOMAIN_COUNT / hosts
    change_us = slopes.change_us.estimate_cost(SERVER_COUNT)
    change_share = change_us * 1e-6 * CHANGES_PER_DAY / SECONDS_PER_DAY
    notice_bytes = slopes.notice_bytes.estimate_cost(SERVER_COUNT)
    notice_bytes_per_s = notice_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY
    idle_share = slopes.idle_cpu_percent.estimate_cost(hosts) / 100
    control_bytes_per_s = slopes.cluster["bytes"].estimate_cost(hosts)
    state_bytes = slopes.server_bytes.estimate_cost(SERVER_COUNT)
    state_bytes += slopes.member_bytes.per_unit * hosts
    return [
        Row(
            role="caller's entry",
            cost="host processes for 130,000 calls/s at 60 % of a core",
            value=hosts,
            unit="hosts",
            target=None,
            mechanism="addresses spread callers over the homes",
        ),
        Row(
            role="caller's entry",
            cost="added p99, one connection",
            value=slopes.hop_added_ms.points[0][1],
            unit="ms",
            target=ADDED_P99_TARGET_MS,
            mechanism="one hop if the looked-up address is a home with free slots",
        ),
        Row(
            role="caller's entry",
            cost="memory of 1,000 connections",
            value=slopes.connection_bytes.per_unit * 1_000,
            unit="bytes",
            target=None,
            mechanism="`limits.connections`",
        ),
        Row(
            role="home host",
            cost="homes per host (48 services in 5 failure domains)",
            value=homes_per_host,
            unit="homes",
            target=None,
            mechanism="rendezvous hashing; a home chooses among its owned servers",
        ),
        Row(
            role="home host",
            cost="CPU time of the core per call with 6 owned servers",
            value=slopes.call_us.estimate_cost(
                SERVER_COUNT / (SERVICE_COUNT * DOMAIN_COUNT)
            ),
            unit="us",
            target=None,
            mechanism="only owned servers are compared",
        ),
        Row(
            role="shard owner",
            cost="added p99 of a keyed call, 1,000 keyed calls/s",
            value=slopes.claim_ms.points[-1][1],
            unit="ms",
            target=None,
            mechanism="group commit; above 240 writes/s shards take turns",
        ),
        Row(
            role="shard owner",
            cost="platform writes at 1,000 keyed calls/s, whole fleet",
            value=slopes.claim_writes.points[-1][1],
            unit="writes/s",
            target=MAX_PLATFORM_WRITES_PER_S,
            mechanism="one write in flight per shard, limited to 80 % of the budget",
        ),
        Row(
            role="shard owner",
            cost="memory of the keys of one day at 100 keyed calls/s, whole fleet",
            value=slopes.key_bytes.per_unit * KEYS_PER_DAY,
            unit="bytes",
            target=None,
            mechanism="divided among the owners of 64 shards; limited by `key_age_s`",
        ),
        Row(
            role="operator interface",
            cost="a change on each host: time that the event loop is blocked",
            value=change_us / 1_000,
            unit="ms",
            target=None,
            mechanism="planned: send changes of single services, not the full document",
        ),
        Row(
            role="watch relay",
            cost="complete notices of 1,500 changes a day, sent to one other host",
            value=notice_bytes_per_s,
            unit="bytes/s",
            target=MAX_CONTROL_BYTES_PER_S,
            mechanism="planned: send changes of single services, compressed",
        ),
        Row(
            role="watch relay",
            cost="open watches on the platform",
            value=WATCHERS_PER_DOMAIN * DOMAIN_COUNT,
            unit="watches",
            target=None,
            mechanism="two hosts per failure domain watch and notify the others",
        ),
        Row(
            role="watch relay",
            cost="time until a change is applied on every host",
            value=slopes.cluster["change propagation"].estimate_cost(hosts),
            unit="s",
            target=PROPAGATION_TARGET_S,
            mechanism="notices and revisions in heartbeats",
        ),
        Row(
            role="watch relay",
            cost="platform reads and lists of the whole idle fleet",
            value=slopes.cluster["platform"].estimate_cost(hosts),
            unit="calls/s",
            target=MAX_PLATFORM_READS_PER_S,
            mechanism="polls every 10 to 20 s; the host list every few seconds",
        ),
        Row(
            role="plain member",
            cost="bytes sent when idle",
            value=control_bytes_per_s,
            unit="bytes/s",
            target=MAX_CONTROL_BYTES_PER_S,
            mechanism="a few monitors per host instead of a full mesh",
        ),
        Row(
            role="plain member",
            cost="bytes sent when idle, and complete notices",
            value=control_bytes_per_s + notice_bytes_per_s,
            unit="bytes/s",
            target=MAX_CONTROL_BYTES_PER_S,
            mechanism="as above",
        ),
        Row(
            role="plain member",
            cost="share of a core when idle, and changes",
            value=idle_share + change_share,
            unit="of a core",
            target=MAX_CONTROL_CORE_SHARE,
            mechanism="timers of 0.2 to 0.5 s; one reducer",
        ),
        Row(
            role="plain member",
            cost="memory of the core's state",
            value=state_bytes,
            unit="bytes",
            target=MAX_CONTROL_MEMORY_BYTES,
            mechanism="slotted data classes",
        ),
        Row(
            role="plain member",
            cost="memory of a process without calls",
            value=slopes.process_bytes.estimate_cost(hosts),
            unit="bytes",
            target=MAX_CONTROL_MEMORY_BYTES,
            mechanism="interpreter and libraries; fewer imports",
        ),
        Row(
            role="plain member",
            cost="time until all hosts know that a host failed",
            value=slopes.cluster["failure detection"].estimate_cost(hosts),
            unit="s",
            target=None,
            mechanism="monitors report hosts that stop sending heartbeats",
        ),
    ]


def compute_host_count(slopes: MeasuredSlopes) -> float:
    """Return how many host processes the target load needs."""
    cpu_us = slopes.hop_us.points[0][1]
    return CALLS_PER_S * cpu_us * 1e-6 / MAX_CORE_SHARE


def render_roles(rows: list[Row]) -> str:
    """Return the table of costs by role in Markdown."""
    lines = [
        "| role | cost at the target | value | target | state | mechanism |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*lines, *(row.render() for row in rows)])


def replace_section(page: str, name: str, table: str) -> str:
    """Return the page with the section between the markers of `name` replaced."""
    pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end -->)", re.DOTALL)
    return pattern.sub(lambda match: f"{match[1]}{table}\n{match[2]}", page)


def main() -> None:
    """Run all measurements and update the tables of the page."""
    slopes = MeasuredSlopes()
    page = PAGE_PATH.read_text()
    page = replace_section(page, "slopes", render_table(slopes.list_slopes()))
    page = replace_section(page, "roles", render_roles(make_rows(slopes)))
    PAGE_PATH.write_text(page)
    print(page)


def _measure_hop() -> tuple[Slope, Slope]:
    samples = hop.measure_host(HOP_CONNECTIONS)
    cpu = [(float(n), sample.cpu_us) for n, sample, _ in samples]
    added = [(float(n), added_ms) for n, _, added_ms in samples]
    return (
        fit_slope(
            name="CPU time per call through a host",
            size_name="connections",
            unit="us",
            points=cpu,
            command=HOP_COMMAND,
        ),
        fit_slope(
            name="added p99, closed loop",
            size_name="connections",
            unit="ms",
            points=added,
            command=HOP_COMMAND,
        ),
    )


def _measure_claims() -> tuple[Slope, Slope]:
    results = [claims_cost.measure(rate, keyed=True) for rate in CLAIM_RATES_PER_S]
    plain = [claims_cost.measure(rate, keyed=False) for rate in CLAIM_RATES_PER_S]
    added = [
        (float(rate), keyed["p99_ms"] - base["p99_ms"])
        for rate, keyed, base in zip(CLAIM_RATES_PER_S, results, plain, strict=True)
    ]
    writes = [
        (float(rate), result["writes_per_s"])
        for rate, result in zip(CLAIM_RATES_PER_S, results, strict=True)
    ]
    return (
        fit_slope(
            name="added p99 of a claim",
            size_name="keyed calls/s",
            unit="ms",
            points=added,
            command=CLAIMS_COMMAND,
        ),
        fit_slope(
            name="platform writes for claims",
            size_name="keyed calls/s",
            unit="writes/s",
            points=writes,
            command=CLAIMS_COMMAND,
        ),
    )


def _measure_keys() -> Slope:
    def measure(count: int) -> float:
        return measure_bytes(
            lambda: {f"{n:032x}": claims_cost.make_entry(n, 0) for n in range(count)}
        )

    return fit_slope(
        name="memory of claims",
        size_name="keys",
        unit="bytes",
        points=[(float(count), measure(count)) for count in KEY_COUNTS],
        command=CLAIMS_COMMAND,
    )


def _measure_cluster() -> dict[str, Slope]:
    costs = [cluster_costs.measure_cluster(size) for size in CLUSTER_SIZES]
    measured: dict[str, tuple[str, str, _GetCost]] = {
        **_list_kind_costs(costs[-1]),
        "bytes": ("bytes sent when idle", "bytes/s", lambda c: c.bytes_sent),
        "peers": ("peers a host sends to", "hosts", lambda c: c.peers),
        "change propagation": (
            "time to apply a change",
            "s",
            lambda c: c.change_propagation_s,
        ),
        "failure detection": (
            "time to detect a failed host",
            "s",
            lambda c: c.failure_detection_s,
        ),
        "platform": ("platform calls", "calls/s", lambda c: c.platform_calls),
    }
    return {
        key: fit_slope(
            name=name,
            size_name="hosts",
            unit=unit,
            points=[(float(cost.hosts), get_cost(cost)) for cost in costs],
            command=CLUSTER_COMMAND,
        )
        for key, (name, unit, get_cost) in measured.items()
    }


def _list_kind_costs(
    cost: cluster_costs.ClusterCost,
) -> dict[str, tuple[str, str, _GetCost]]:
    """Return name, unit and getter for each kind of message and platform call."""
    measured: dict[str, tuple[str, str, _GetCost]] = {}
    for kind in cost.bytes_by_kind:
        name = f"bytes sent when idle, {kind}"
        measured[kind] = (name, "bytes/s", partial(_get_bytes, kind))
    for kind in cost.platform_by_kind:
        name = f"platform calls, {kind}"
        measured[f"platform {kind}"] = (name, "calls/s", partial(_get_calls, kind))
    return measured


def _get_bytes(kind: str, cost: cluster_costs.ClusterCost) -> float:
    return cost.bytes_by_kind.get(kind, 0.0)


def _get_calls(kind: str, cost: cluster_costs.ClusterCost) -> float:
    return cost.platform_by_kind.get(kind, 0.0)


if __name__ == "__main__":
    main()
