Feature: Room for urgent work
  Urgent tasks start in time although the workers are full, without duplicating work.

  Background:
    Given a cell with 2 entry instances and 8 workers of 4 processors
    And a shard owner
    And urgent work by label, and preemptible batch work

  Scenario: Urgent tasks start within 2.7 s at twice the capacity (guards against waiting for batch)
    Given batch tasks of 20 seconds that ask for twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 0.5 seconds for 60 seconds
    Then 99 of 100 urgent tasks started within 2.7 seconds
    And at least 40 batch tasks have ended
    And no task ran in two places

  Scenario: Non-idempotent batch tasks are never stopped for others (guards against a second run)
    Given non-idempotent batch tasks of 20 seconds that ask for twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 2 seconds for 30 seconds
    Then no batch task was started twice

  Scenario: Work is not stopped where the policy does not allow it (guards against lost progress)
    Given the policy of batch work is not preemptible
    And batch tasks of 20 seconds that ask for twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 2 seconds for 30 seconds
    Then no batch task was started twice
