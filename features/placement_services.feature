Feature: Declared services
  The tasks of a service follow its declaration without an interruption of the service.

  Background:
    Given a cell with 2 entry instances and 3 workers of 4 processors
    And a shard owner
    And the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 1000, "memory_mb": 64}}]
      """
    And 5 seconds pass

  Scenario: A service is declared (guards against missing tasks)
    Then 3 tasks of "service.desk" run
    And 3 upstreams are usable

  Scenario: A service is scaled down (guards against a stop that interrupts requests)
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

  Scenario: The resources of a service change (guards against an interruption by the change)
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 2000, "memory_mb": 64}}]
      """
    Then at least 3 tasks of "service.desk" run for 30 seconds
    And every task of "service.desk" has 2000 processors
    And 3 tasks of "service.desk" run

  Scenario: Resources change while tasks wait (guards against reserving the former amounts)
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
    And the reserved amounts fit every worker

  Scenario: A change finds no room for replacements (guards against a change that never ends)
    Given job "filler" with 9 tasks that run 1000 seconds is submitted
    When the configuration
      """
      [{"kind": "workload", "name": "desk", "type": "service", "count": 3,
        "resources": {"processors": 900, "memory_mb": 64}}]
      """
    Then at least 2 tasks of "service.desk" run for 150 seconds
    And every task of "service.desk" has 900 processors
    And 3 tasks of "service.desk" run

  Scenario: A worker is drained (guards against tasks that stay on it or leave it too early)
    When the worker of a task of "service.desk" is drained
    Then at least 3 tasks of "service.desk" run for 20 seconds
    And no task runs on the drained worker

  Scenario: A selector excludes a worker (guards against tasks where they may not be)
    When the configuration
      """
      [{"kind": "selector", "name": "not-first", "target": "placement",
        "workers": {"requirements": [
          {"key": "worker", "operator": "not-in", "values": ["worker-0"]}]}}]
      """
    Then at least 3 tasks of "service.desk" run for 20 seconds
    And no task runs on worker "worker-0"

  Scenario: A service is withdrawn (guards against tasks without a declaration)
    When the declaration of workload "desk" is deleted
    And 10 seconds pass
    Then 0 tasks of "service.desk" run
    And the reserved amounts are zero

  Scenario: A service task exits (guards against a service that shrinks)
    When one task of "service.desk" fails
    And 5 seconds pass
    Then 3 tasks of "service.desk" run
