Feature: Stragglers, workers that leave, and services
  Runs that stand still, are slow, or would be lost with their worker go on elsewhere; services are
  spread and started again.

  Scenario: A task without checkpoints that stands still is started on another worker
    Guards against submissions that wait for a worker whose tasks stand still while it answers.
    Given 3 workers and an owner
    And tasks on worker "w0" are stalled
    When 12 submissions of 1 tasks arrive over 2 seconds
    And 6 seconds pass in the simulation
    Then every submission is completed
    And no invariant was violated

  Scenario: A task on a slow worker is copied where its step allows copies
    Guards against a submission that ends as late as its slowest worker: 8 s here instead of 1.5 s.
    Given 5 workers and an owner
    And tasks on worker "w0" take 8 times as long
    When a submission "copied" of 8 tasks of 5000 millicores that may be copied arrives
    And 5 seconds pass in the simulation
    Then "copied" is completed
    And no invariant was violated

  Scenario: Tasks of uneven length on sound workers are left alone
    Guards against work that is thrown away since a task is longer than the others of its step.
    Given 6 workers and an owner
    When 40 submissions of 6 tasks arrive over 20 seconds
    And 10 seconds pass in the simulation
    Then every submission is completed
    And no run was stopped

  Scenario: Silence of a worker is no sign that its tasks stand still
    Guards against running work that is started again elsewhere since its worker is slow to report.
    Given 2 workers and an owner
    When a submission "long" of 2 tasks of 9000 millicores and 20 seconds arrives
    And 1 seconds pass in the simulation
    And worker "w0" is partitioned
    And 3 seconds pass in the simulation
    And worker "w0" is no longer partitioned
    And 25 seconds pass in the simulation
    Then "long" is completed
    And "long" has 2 starts
    And no run was stopped

  Scenario: Work leaves a draining worker before the worker does
    Guards against tasks that are lost with their worker, and start again only when its lease has
    expired.
    Given 3 workers and an owner
    When a submission "saved" of 3 tasks of 9000 millicores with checkpoints and 20 seconds arrives
    And a service "feed" of 3 tasks of 2000 millicores arrives
    And 1 seconds pass in the simulation
    And worker "w0" drains and leaves in 2.5 seconds
    And 3 seconds pass in the simulation
    Then no run was lost with its worker
    And "feed" has 3 active tasks
    And no invariant was violated

  Scenario: Work that ends before its worker leaves is not moved
    Guards against work that is thrown away although there is time for it.
    Given 3 workers and an owner
    When a submission "short" of 3 tasks of 9000 millicores and 2 seconds arrives
    And 1 seconds pass in the simulation
    And worker "w0" drains and leaves in 4.0 seconds
    And 5 seconds pass in the simulation
    Then "short" is completed
    And no run was stopped

  Scenario: A service that has lost its worker starts before work of lower priority
    Guards against a service that counts as hopelessly late, since it was submitted long ago, and
    waits behind everything else.
    Given 2 workers and an owner
    When a service "feed" of 2 tasks of 12000 millicores with priority 1 arrives
    And 30 seconds pass in the simulation
    And a stream of small tasks with priority 2 keeps the workers full for 10 seconds
    And 1 seconds pass in the simulation
    And worker "w0" restarts with the same id
    And 5 seconds pass in the simulation
    Then "feed" has 2 active tasks

  Scenario: The tasks of a service are spread over workers and racks
    Guards against a service that is away as a whole when one worker or one rack is lost.
    Given 8 workers and an owner
    When a service "feed" of 4 tasks of 2000 millicores with priority 1 arrives
    And 2 seconds pass in the simulation
    Then no worker holds more than 1 task of "feed" and no rack more than 2

  Scenario: Progress shows when capacity will be free
    Guards against gangs that wait for tasks whose estimate is far too long.
    Given a run of estimated 100 seconds that has done 0.5 in 2 seconds
    Then its remaining time is 2.0 seconds
    When its reports show no more progress for 5 seconds
    Then it counts as stalled

  Scenario Outline: A run on a slow worker is started again only if that ends sooner
    Guards against work that is thrown away shortly before its end.
    Given a run of estimated 1 seconds that has done <progress> in 4 seconds
    When a policy judges it on a slow worker, where its task takes 1.0 seconds elsewhere
    Then the run is to be <action>

    Examples:
      | progress | action    |
      | 0.2      | restarted |
      | 0.8      | kept      |
      | 1.0      | kept      |
