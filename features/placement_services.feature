Feature: Declared services
  The tasks of a service follow its declaration without interrupting the service.

  Background:
    Given a simulated cluster with 2 entry instances and 3 workers of 4 processors
    And a shard owner
    And the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 1000, "memory_mb": 64}}]
      """
    And 5 seconds pass

  Scenario: A declared service has all its tasks
    Guards against missing tasks, and against tasks that run without being offered as upstreams.
    Then 3 tasks of "service.desk" run
    And 3 upstreams are usable

  Scenario: A service is scaled down
    Guards against interrupted requests: a task must leave the usable upstreams before it stops.
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 1,
        "resources": {"processors": 1000, "memory_mb": 64}}]
      """
    And 1.2 seconds pass
    Then 3 tasks of "service.desk" run
    And 1 upstreams are usable
    And 5 seconds pass
    And 1 tasks of "service.desk" run

  Scenario: The resources of a service change
    Guards against an interruption of the service while its tasks are replaced.
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 2000, "memory_mb": 64}}]
      """
    Then at least 3 tasks of "service.desk" run for 30 seconds
    And every task of "service.desk" has 2000 processors
    And 3 tasks of "service.desk" run

  Scenario: The resources of a service change while some of its tasks wait
    Guards against reserving the previous resources for tasks that were waiting at the change.
    Given job "filler" with 9 tasks that run 10 seconds is submitted
    And 2 seconds pass
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 6,
        "resources": {"processors": 1000, "memory_mb": 64}}]
      """
    And 2 seconds pass
    And the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 6,
        "resources": {"processors": 2000, "memory_mb": 64}}]
      """
    Then at least 3 tasks of "service.desk" run for 15 seconds
    And 100 seconds pass
    And every task of "service.desk" has 2000 processors
    And 6 tasks of "service.desk" run
    And the reserved resources do not exceed any worker's capacity

  Scenario: The resources of a service change without free capacity for replacements
    Guards against a change that never completes because other tasks occupy the workers.
    Given job "filler" with 9 tasks that run 1000 seconds is submitted
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 900, "memory_mb": 64}}]
      """
    Then at least 2 tasks of "service.desk" run for 150 seconds
    And every task of "service.desk" has 900 processors
    And 3 tasks of "service.desk" run

  Scenario: A worker with service tasks is drained
    Guards against tasks that stay on the drained worker, and against tasks that stop before their
    replacements run.
    When the worker of a task of "service.desk" is drained
    Then at least 3 tasks of "service.desk" run for 20 seconds
    And no task runs on the drained worker

  Scenario: A placement selector excludes a worker
    Guards against tasks that stay on a worker that a later configuration excludes.
    When the configuration
      """
      [{"kind": "selector", "name": "not-first", "target": "placement",
        "workers": {"requirements": [
          {"key": "worker", "operator": "not-in", "values": ["worker-0"]}]}}]
      """
    Then at least 3 tasks of "service.desk" run for 20 seconds
    And no task runs on worker "worker-0"

  Scenario: The declaration of a service is deleted
    Guards against tasks and reservations that remain without a declaration.
    When the declaration of workload "desk" is deleted
    And 10 seconds pass
    Then 0 tasks of "service.desk" run
    And no resources are reserved

  Scenario: A failed service task is replaced
    Guards against a service that loses one task at each failure.
    When one task of "service.desk" fails
    And 5 seconds pass
    Then 3 tasks of "service.desk" run
