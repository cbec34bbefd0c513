"""Seeded load of short and long submissions on simulated workers of uneven speeds."""

import math

from lavenderhook._internal.queueing.model import AdviceTerms, SubmissionState

from .queue_simulation import QueueSimulation, make_step

SHORT_SECONDS, LONG_SECONDS = 0.5, 3.0
SHORT_TERMS = {"slack_factor": 1.5, "latency_seconds": 0.25}
LONG_TERMS = {"slack_factor": 4.0, "latency_seconds": 3.0, "priority": 2}
ESTIMATE_SPREAD = 0.2  # of the logarithm of the duration for each step
TASK_SPREAD = 0.15  # of the logarithm of the duration of each task
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0  # of the tasks, in the simulations that have a tail


class UnevenSimulation(QueueSimulation):
    """Workers of lasting speeds under short submissions with close objectives beside long ones.

    Parameters
    ----------
    seed, workers : int
    factors : sequence of float
        Durations relative to the estimate, by worker in turn.
    has_tail : bool
        A few tasks take several times as long as the others of their step.
    """

    def __init__(self, seed, workers, factors, has_tail=False):
        super().__init__(seed, workers)
        self.tail_share = TAIL_SHARE if has_tail else 0.0
        self._step_factors = {}
        self.due = {}  # time of submission, by short submission
        for index, worker in enumerate(self.workers.values()):
            worker.duration_factor = factors[index % len(factors)]

    def choose_duration(self, spec):
        """Return how long a run of a step takes on a worker of factor 1."""
        factor = self._step_factors.setdefault(
            id(spec), math.exp(self.random.gauss(0.0, ESTIMATE_SPREAD))
        )
        if self.random.random() < self.tail_share:
            factor *= TAIL_FACTOR
        return spec.estimate_seconds * factor * math.exp(self.random.gauss(0.0, TASK_SPREAD))

    def load(self, seconds, short_each_second, long_each_second, *, is_advised=False):
        """Let submissions of both kinds arrive for some seconds, and time pass."""
        advice = AdviceTerms(decision_seconds=0.0, seconds_per_worker=0.0, validity_seconds=2.5)
        for kind, each_second in (("short", short_each_second), ("long", long_each_second)):
            for index in range(int(seconds * each_second)):
                name = f"{kind}{self.now:.1f}-{index}"
                at = self.random.uniform(0.0, seconds)
                if kind == "short":
                    terms = dict(SHORT_TERMS, advice=advice) if is_advised else SHORT_TERMS
                    steps = [make_step(3, 2500, SHORT_SECONDS)]
                    self.due[name] = self.now + at
                else:
                    terms, steps = LONG_TERMS, [make_step(10, 1700, LONG_SECONDS)]
                self.call_later(
                    at, lambda n=name, s=steps, q=kind, t=terms: self.submit(n, s, queue=q, **t)
                )
        self.run(seconds)

    def measure_late_share(self, since):
        """Return the share of late short submissions among those that arrived after a time."""
        objective = SHORT_TERMS["slack_factor"] * SHORT_SECONDS + SHORT_TERMS["latency_seconds"]
        due = {name: at for name, at in self.due.items() if since <= at < self.now - 3.0}
        late = [
            name
            for name, at in due.items()
            if self.outcomes.get(name) is not SubmissionState.COMPLETED
            or self.ended_at[name] - at > objective
        ]
        return len(late) / len(due)
