Feature: Steps that wait although capacity is free
  What fits starts, and what doesn't is logged with the reason for each worker.

  Scenario: A step that waits beside free capacity is logged with the reason for each worker
    Guards against work that waits for a state that nothing ends, of which no log line tells.
    Given 3 workers and an owner
    And the advisory service allows no worker
    When a submission "kept" of 2 tasks with advice arrives
    And 3.9 seconds pass in the simulation
    Then there are 1 lines "step-waits", with "not-allowed" for 3 workers
    When 6 seconds pass in the simulation
    Then there are 2 lines "step-waits", with "not-allowed" for 3 workers

  Scenario Outline: A gang starts although it needs a worker that was slow for a while
    Guards against a gang that waits for the end of a worker's probation, which only a run there ends,
    while nothing else is placed there.
    Given <workers> workers and an owner
    And tasks on worker "w0" take 8 times as long
    When 30 submissions of 8 tasks arrive over 9 seconds
    And 4 seconds pass in the simulation
    And worker "w0" is as fast as the others again
    And 6 seconds pass in the simulation
    Then no run is active
    When a gang "wide" of <workers> tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And 6 seconds pass in the simulation
    Then "wide" is completed
    And no invariant was violated

    Examples:
      | workers |
      | 5       |
      | 8       |

  Scenario: A worker that was slow for a while gets tasks again beside a service
    Guards against a worker that stays on probation, with room for one run at a time, while a service
    runs there.
    Given 2 workers and an owner
    And a service on each worker
    And tasks on worker "w0" take 8 times as long
    When 30 submissions of 8 tasks arrive over 9 seconds
    And 6 seconds pass in the simulation
    And worker "w0" is as fast as the others again
    And 20 seconds pass in the simulation
    And a submission "many" of 10 tasks of 3000 millicores and 1 seconds arrives
    And 2.5 seconds pass in the simulation
    Then "many" is completed
    And no invariant was violated

  Scenario: A gang that fits on sound workers leaves out one that is slow
    Guards against a gang that is as slow as its slowest worker although others are free.
    Given 5 workers and an owner
    And tasks on worker "w0" take 8 times as long
    When 30 submissions of 8 tasks arrive over 9 seconds
    And a gang "narrow" of 3 tasks of 12000 millicores with priority 1 arrives after 2 seconds
    And 1 seconds pass in the simulation
    Then "narrow" has started
    And "narrow" has no run on worker "w0"
    And no invariant was violated

  Scenario: A gang doesn't wait for long tasks while a worker that was slow for a while is idle
    Guards against a probation that lasts although nothing has shown the worker's speed for long.
    Given 5 workers and an owner
    And tasks on worker "w4" take 8 times as long
    When a submission "long" of 4 tasks of 9000 millicores and 60 seconds arrives
    And 30 submissions of 4 tasks arrive over 9 seconds
    And 4 seconds pass in the simulation
    And worker "w4" is as fast as the others again
    And 6 seconds pass in the simulation
    And a gang "wide" of 6 tasks of 6000 millicores with priority 1 arrives after 0 seconds
    And 6 seconds pass in the simulation
    Then "wide" is completed
    And no invariant was violated

  Scenario: A task returns to a worker that it avoids where no other has capacity
    Guards against a task that waits for long tasks elsewhere, or for good beside services, since its
    run has failed or been moved once on the worker that is idle.
    Given 2 workers and an owner
    And every run on worker "w1" fails
    When a submission "long" of 1 tasks of 9000 millicores and 60 seconds arrives
    And 1 seconds pass in the simulation
    And a submission "big" of 1 tasks of 9000 millicores and 1 seconds arrives
    And 2 seconds pass in the simulation
    And runs on worker "w1" succeed again
    And 6 seconds pass in the simulation
    Then "big" is completed
    And no invariant was violated

  Scenario: A service gets back a task that had to leave its worker
    Guards against a task that is never started again: each other worker holds as many as it may.
    Given 2 workers and an owner
    And a service "spread" with one task on each worker
    When worker "w1" drains and leaves in 60.0 seconds
    And 1 seconds pass in the simulation
    And worker "w1" no longer drains
    And 6 seconds pass in the simulation
    Then "spread" has 2 active tasks
    And no invariant was violated

  Scenario: A worker takes other work beside a service that has lost two workers
    Guards against workers that hold nothing but one small task of a service for as long as that task had
    run before its worker crashed, which may be hours.
    Given 2 workers and an owner
    And a service on each worker
    When 60 seconds pass in the simulation
    And worker "w0" restarts with the same id
    And 60 seconds pass in the simulation
    And worker "w1" restarts with the same id
    And 18 seconds pass in the simulation
    And a gang "wide" of 2 tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And 6 seconds pass in the simulation
    Then "wide" is completed
    And no invariant was violated
