Feature: Preemption of batch tasks by urgent tasks
  Urgent tasks start in time although the workers are fully occupied, without duplicating work.

  Background:
    Given a simulated cluster with 2 entry instances and 8 workers of 4 processors
    And a shard owner
    And policies for urgent and for preemptible batch tasks, selected by label

  Scenario: Urgent tasks start within 2.7 s at twice the capacity
    Guards against urgent tasks that wait until batch tasks finish, and against batch tasks that
    make no progress because they are preempted again and again.
    Given batch tasks of 20 seconds that require twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 0.5 seconds for 60 seconds
    Then 99 of 100 urgent tasks started within 2.7 seconds
    And at least 40 batch tasks have finished
    And no task ran on two workers at once

  Scenario: Non-idempotent batch tasks are never preempted
    Guards against a second run of a task that must run only once: a preempted task starts again.
    Given non-idempotent batch tasks of 20 seconds that require twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 2 seconds for 30 seconds
    Then no batch task was started twice

  Scenario: Tasks of a policy without preemption are not preempted
    Guards against lost progress: a preempted task starts again from its beginning.
    Given the policy of batch tasks is not preemptible
    And batch tasks of 20 seconds that require twice the capacity
    When an urgent task of 2 processors and 1 second arrives every 2 seconds for 30 seconds
    Then no batch task was started twice
