"""Identifiers and states used throughout the core."""

from __future__ import annotations

import enum
from typing import NewType

InstanceName = NewType("InstanceName", str)
IncarnationId = NewType("IncarnationId", str)  # one run of an entry instance's process
AvailabilityZone = NewType("AvailabilityZone", str)
WorkerId = NewType("WorkerId", str)
RackId = NewType("RackId", str)
TeamName = NewType("TeamName", str)
CallerName = NewType("CallerName", str)
ServiceName = NewType("ServiceName", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
AttemptId = NewType("AttemptId", str)
RequestId = NewType("RequestId", str)
UpstreamId = NewType("UpstreamId", str)  # the attempt id of the service task behind it
ShardId = NewType("ShardId", int)
TransactionId = NewType("TransactionId", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)


class WorkloadKind(enum.Enum):
    """How the tasks of a workload run."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class PriorityClass(enum.Enum):
    """Priority class of a request or a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class TaskState(enum.Enum):
    """State of a task or of its current attempt."""

    PENDING = "pending"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class MemberState(enum.Enum):
    """State of an entry instance in the membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
    LEAVING = "leaving"
    GONE = "gone"
