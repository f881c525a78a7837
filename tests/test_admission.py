"""Tests of admission control under heavy overload, in virtual time.

Without it, slots go to calls that miss their deadline anyway, and goodput collapses as
the load rises.
"""

from bench.policies import Policy
from bench.trial import Outcome, ServiceSize, Trial, run_trial

SEED = 3
SMALL = ServiceSize(name="small", servers=6, slots=2)


def run(load: float, deadline_s: float = 2.0) -> Outcome:
    """Run a short trial on a small fleet."""
    trial = Trial(
        service_size=SMALL,
        policy=Policy.SISKINPIER,
        load=load,
        seed=SEED,
        length_s=0.48,
        warm_up_s=0.24,
        deadline_s=deadline_s,
    )
    return run_trial(trial)


class TestOverload:
    """Goodput and refusals at loads far above the capacity."""

    def test_goodput_stays_within_a_tenth_of_its_best(self) -> None:
        goodputs = [run(load).goodput for load in (1.2, 2.0, 4.0, 10.0)]
        assert min(goodputs) >= 0.9 * max(goodputs)

    def test_goodput_holds_when_deadlines_are_short(self) -> None:
        """Guards against wasting slots on calls that cannot meet their deadline."""
        goodputs = [run(load, deadline_s=0.1).goodput for load in (2.0, 4.0, 10.0)]
        assert min(goodputs) >= 0.9 * max(goodputs)

    def test_every_call_is_answered_or_refused_by_its_deadline(self) -> None:
        outcome = run(4.0)
        assert outcome.failed == 0
        assert outcome.refused > 0
