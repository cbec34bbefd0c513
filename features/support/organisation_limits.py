"""Organisations of the simulated configuration, and checks of what they have running.

What runs is counted at the workers, independently of the owner's account.
"""

import collections
import zlib

from lavenderhook._internal.queueing.events import OrganisationsChanged
from lavenderhook._internal.queueing.model import Resources
from lavenderhook._internal.queueing.organisations import Organisation, Organisations

CHANGE_SECONDS = 3.0  # until a change of the configuration is in force everywhere
OVERAGE = 0.1  # of a limit, for runs that an owner can't know
CHECK_INTERVAL_SECONDS = 0.1


class OrganisationLimits:
    """Delivers organisations to the owners, and checks each start against the limits."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.organisations = None
        self.limits_in_force = collections.defaultdict(list)
        self.most_processors = collections.Counter()  # ever running, by organisation
        self.assigned = []  # names from which submissions get theirs, by their own names

    def change(self, *organisations):
        """Activate a configuration; the limits of the one before are in force for a while."""
        former = list(self.organisations or ())
        self.organisations = Organisations(organisations)
        for entry in organisations:
            self.limits_in_force[entry.name].append(entry.limit)
        for entry in former:
            limits = self.limits_in_force[entry.name]
            self.simulation.call_later(CHANGE_SECONDS, limits.remove, entry.limit)
        for owner in self.simulation.owners:
            self.deliver(owner)

    def deliver(self, owner):
        """Let an owner read the active configuration, if there is one."""
        if self.organisations is not None:
            now = self.simulation.now
            owner.apply(OrganisationsChanged(now=now, organisations=self.organisations))

    def choose(self, name):
        """Return the organisation of a submission without one of its own."""
        return (
            self.assigned[zlib.crc32(name.encode()) % len(self.assigned)] if self.assigned else ""
        )

    def find_organisation(self, task):
        """Return the organisation of a task."""
        return self.simulation.submissions[task.submission][0].organisation

    def count(self, name):
        """Return the processors, memory and accelerators that an organisation uses."""
        total = [0, 0, 0]
        for worker in self.simulation.workers.values():
            for task in worker.runs:
                if self.find_organisation(task) == name:
                    total = _add(total, self.simulation.find_spec(task).resources)
        return total

    def record_start(self, command):
        """Record a start before it is carried out; return whether it is within the limit."""
        name = self.find_organisation(command.task)
        needs = self.simulation.find_spec(command.task).resources
        total = _add(self.count(name), needs)
        self.most_processors[name] = max(self.most_processors[name], total[0])
        limits = self.limits_in_force.get(name)
        if not limits:
            return True
        return all(
            0 in amounts or used <= max(amounts) * (1 + OVERAGE) + needed
            for used, needed, *amounts in zip(total, _list(needs), *map(_list, limits), strict=True)
        )

    def check_accounts(self):
        """Check repeatedly that each owner's account equals a count of all runs it knows."""
        for owner in self.simulation.owners:
            use = owner.state.scheduler.quotas.use
            counted = collections.defaultdict(lambda: [0, 0, 0])
            for worker in owner.state.list_workers():
                for run in worker.runs.values():
                    counted[run.organisation] = _add(counted[run.organisation], run.resources)
            if {name: _list(use.get(name)) for name in use} != counted:
                self.simulation.violations.append((self.simulation.now, "account", owner.fencing))
        self.simulation.call_later(CHECK_INTERVAL_SECONDS, self.check_accounts)


def make_organisation(name, processors=0, weight=100.0):
    """Return an organisation; 0 processors are no limit."""
    return Organisation(name=name, weight=weight, limit=Resources(processors, 0, 0))


def _list(resources):
    return [resources.processors, resources.memory_mb, resources.accelerators]


def _add(total, resources):
    return [one + other for one, other in zip(total, _list(resources), strict=True)]
