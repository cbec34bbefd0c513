"""Random days of queues: submissions, workers' faults and changes of owner."""

import random

from lavenderhook._internal.queueing.model import WorkerState

from .queue_world import QueueWorld, make_step

DAY_SECONDS = 15.0
SETTLE_SECONDS = 40.0


def make_steps(generator):
    """Return the steps of a random submission."""
    kind = generator.random()
    if kind < 0.2:
        return [make_step(generator.randint(2, 5), 3000, 1.5, is_gang=True)]
    if kind < 0.4:
        first = make_step(3, 1500, 0.8)
        return [first, make_step(2, 2500, 1.0, after=(0,))]
    if kind < 0.5:
        return [make_step(3, 2000, 1.0, allows_copies=True)]
    return [make_step(generator.randint(1, 4), generator.choice([800, 2500, 6000]), 0.8)]


def play_day(seed, has_leavers=False, tells_lives_apart=True):
    """Play a random day and return the world after it has settled."""
    generator = random.Random(seed)
    world = QueueWorld(seed, workers=5, lost=generator.choice([0.0, 0.05, 0.2]))
    world.tells_lives_apart = tells_lives_apart
    world.failing = generator.choice([0.0, 0.05, 0.2])
    world.elect()
    for index in range(40):
        at = generator.uniform(0.5, DAY_SECONDS)
        name = f"s{index}"
        world.after(at, world.submit, name, make_steps(generator))
        if generator.random() < 0.15:
            world.after(at + generator.uniform(0.05, 3.0), cancel_known, world, name)
    for _ in range(generator.randint(1, 5)):
        add_fault(world, generator)
    for _ in range(generator.randint(1, 3) if has_leavers else 0):
        add_leaver(world, generator)
    world.run(DAY_SECONDS)
    world.lost = 0.0
    world.run(SETTLE_SECONDS)
    world.check_outcomes()
    return world


def cancel_known(world, name):
    """Cancel a submission."""
    if name in world.submissions:
        world.cancel(name)


def add_fault(world, generator):
    """Put a random fault into the day."""
    at = generator.uniform(1.0, DAY_SECONDS - 1)
    span = generator.uniform(1.0, 7.0)
    worker = world.workers[generator.choice(sorted(world.workers))]
    kind = generator.choice(["cut", "restart", "elect", "freeze", "drain", "crash", "refuse"])
    if kind == "cut":
        world.after(at, setattr, worker, "is_cut", True)
        world.after(at + span, setattr, worker, "is_cut", False)
        if generator.random() < 0.5:
            world.after(at + span * generator.random(), world.elect)
    elif kind == "restart":
        world.after(at, restart, world, worker)
    elif kind == "crash":
        world.after(at, crash, world, worker)
        world.after(at + span, restart, world, worker)
    elif kind == "drain":
        world.after(at, setattr, worker, "state", WorkerState.DRAINING)
        world.after(at + 0.2, relist, world)
        world.after(at + span, restart, world, worker)
    elif kind == "refuse":
        world.after(at, setattr, world, "store_refuses", True)
        world.after(at + span, setattr, world, "store_refuses", False)
        world.after(at + span * generator.random(), world.elect)
    elif kind == "elect":
        world.after(at, world.elect)
    else:
        world.after(at, freeze, world, span)
        world.after(at + 2.0, world.elect)


def add_leaver(world, generator):
    """Let a worker drain or be cut off around a change of owner, and come back or not."""
    at = generator.uniform(1.0, DAY_SECONDS - 3)
    worker = world.workers[generator.choice(sorted(world.workers))]
    if generator.random() < 0.6:
        world.after(at, setattr, worker, "state", WorkerState.DRAINING)
        world.after(at + 0.1, relist, world)
    cut_at = at + generator.uniform(0.0, 1.5)
    world.after(cut_at, setattr, worker, "is_cut", True)
    back_at = cut_at + generator.uniform(0.2, 6.0)
    world.after(back_at, setattr, worker, "is_cut", False)
    world.after(back_at, setattr, worker, "state", WorkerState.READY)
    world.after(back_at + 0.1, relist, world)
    for _ in range(generator.randint(1, 2)):
        world.after(cut_at + generator.uniform(0.0, 5.0), world.elect)


def freeze(world, span):
    """Suspend the owner for a while."""
    owner = world.owners[-1]
    owner.is_frozen = True
    world.after(span, setattr, owner, "is_frozen", False)


def crash(world, worker):
    """Let a worker's process end."""
    worker.is_up = False
    worker.runs.clear()
    world.after(4.0, relist, world)


def restart(world, worker):
    """Let a worker begin a new life under its id."""
    worker.is_up = True
    worker.state = WorkerState.READY
    worker.boot()
    world.after(0.5, relist, world)


def relist(world):
    """Let the owners read the list of workers."""
    for owner in world.owners:
        if not owner.is_frozen:
            owner.list_workers()
