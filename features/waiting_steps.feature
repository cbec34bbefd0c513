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

  Scenario: A gang starts on a worker that has just been slow if it needs that worker
    Guards against a gang that waits until nothing has shown the worker's speed for some seconds.
    Given 5 workers and an owner
    And worker "w0" is on probation
    When a gang "wide" of 5 tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And 1 seconds pass in the simulation
    Then "wide" has started
    And no invariant was violated

  Scenario: A gang waits behind another one rather than start on a slow worker
    Guards against a gang on a slow worker because another gang has reserved the sound ones.
    Given 5 workers and an owner
    When a submission "busy" of 5 tasks of 9000 millicores and 2 seconds arrives
    And 0.5 seconds pass in the simulation
    And worker "w0" is on probation
    And a gang "first" of 4 tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And a gang "second" of 1 tasks of 6000 millicores with priority 1 arrives after 0.1 seconds
    And 0.5 seconds pass in the simulation
    Then "second" has no run on worker "w0"
    When 12 seconds pass in the simulation
    Then "second" is completed
    And no invariant was violated

  Scenario: A gang for one rack leaves out a slow worker if sound workers of several racks hold it
    Guards against a gang on a slow worker because no rack of sound workers alone holds it.
    Given 5 workers and an owner
    And worker "w0" is on probation
    When a gang "narrow" of 4 tasks of 12000 millicores for one rack arrives
    And 1 seconds pass in the simulation
    Then "narrow" has started
    And "narrow" has no run on worker "w0"
    And no invariant was violated

  Scenario: A slow worker gets one run at a time although it was idle for a while
    Guards against a worker that gets its share of each burst of tasks while it is still slow.
    Given 5 workers and an owner
    And worker "w0" is on probation
    And tasks on worker "w0" take 8 times as long
    When 8 seconds pass in the simulation
    And a submission "burst" of 20 tasks of 4000 millicores and 1 seconds arrives
    And 0.3 seconds pass in the simulation
    Then worker "w0" has 1 active runs
    And no invariant was violated

  Scenario: A gang leaves out a slow worker that was idle for a while if it fits without it
    Guards against a gang on a worker that is still slow, while as many others are free.
    Given 5 workers and an owner
    And worker "w0" is on probation
    When 8 seconds pass in the simulation
    And a gang "narrow" of 4 tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And 1 seconds pass in the simulation
    Then "narrow" has started
    And "narrow" has no run on worker "w0"
    And no invariant was violated

  Scenario: A long task that runs as fast as expected ends a probation
    Guards against tasks that wait beside free capacity for the end of a long task.
    Given 1 workers and an owner
    And worker "w0" is on probation
    When a submission "long" of 1 tasks of 7000 millicores and 60 seconds arrives
    And 10 seconds pass in the simulation
    And a submission "late" of 1 tasks of 7000 millicores and 1 seconds arrives
    And 3 seconds pass in the simulation
    Then "late" is completed
    And no invariant was violated

  Scenario: A long task that is slow doesn't end a probation
    Guards against more work on a worker that is still slow.
    Given 1 workers and an owner
    And worker "w0" is on probation
    And tasks on worker "w0" take 5 times as long
    When a submission "long" of 1 tasks of 7000 millicores and 10 seconds arrives
    And 10 seconds pass in the simulation
    And a submission "late" of 1 tasks of 7000 millicores and 1 seconds arrives
    And 4 seconds pass in the simulation
    Then "late" has not started
    And the last line "step-waits" has the reason "on-probation" for 1 workers

  Scenario: What a long task has done before a probation doesn't end it
    Guards against a worker that turns slow and counts as sound for its work until then.
    Given 1 workers and an owner
    When a submission "long" of 1 tasks of 7000 millicores and 60 seconds arrives
    And 10 seconds pass in the simulation
    And worker "w0" is on probation
    And a submission "late" of 1 tasks of 7000 millicores and 1 seconds arrives
    And 3 seconds pass in the simulation
    Then "late" has not started

  Scenario: A gang waits for the end of a task rather than start on a slow worker
    Guards against a gang that takes several times as long to save a short wait.
    Given 2 workers and an owner
    And worker "w0" is on probation
    When a submission "busy" of 1 tasks of 9000 millicores and 2 seconds on rack "r-1" arrives
    And a gang "narrow" of 1 tasks of 12000 millicores with priority 1 arrives after 0.3 seconds
    And 0.5 seconds pass in the simulation
    Then "narrow" has not started
    When 6.5 seconds pass in the simulation
    Then "narrow" is completed
    And no invariant was violated

  Scenario: A gang doesn't wait for a service that runs on a sound worker
    Guards against a gang that waits for capacity which nothing will free.
    Given 2 workers and an owner
    And worker "w0" is on probation
    When a service "feed" of 1 tasks, one on each worker of rack "r-1", arrives
    And a gang "narrow" of 1 tasks of 15000 millicores with priority 1 arrives after 0.3 seconds
    And 1 seconds pass in the simulation
    Then "narrow" has started
    And no invariant was violated

  Scenario: A gang that may use workers on probation is not logged as waiting for their probation
    Guards against a log line that names a cause that the wait doesn't have.
    Given 5 workers and an owner
    And worker "w0" is on probation
    When a gang "huge" of 6 tasks of 12000 millicores with priority 1 arrives after 0 seconds
    And 4 seconds pass in the simulation
    Then the last line "step-waits" has the reason "usable" for 5 workers

  Scenario: A step that waits is logged although the workers of another service are full
    Guards against a wait beside free capacity that isn't logged, as other workers can't help.
    Given 8 workers and an owner
    And the workers from "w3" on belong to another service, and are full
    And the advisory service allows no worker
    When a submission "kept" of 2 tasks with advice arrives
    And 4 seconds pass in the simulation
    Then there are 1 lines "step-waits"

  Scenario: A task of a service that waits is logged although others of it run
    Guards against a service with too few tasks of which no log line tells.
    Given 3 workers and an owner
    When a service "feed" of 3 tasks, one on each worker of rack "r-0", arrives
    And 4 seconds pass in the simulation
    Then "feed" has 2 active tasks
    And there are 1 lines "step-waits"

  Scenario: A step that waits for capacity is not logged
    Guards against lines on work that waits since the workers are full.
    Given 1 workers and an owner
    When a submission "long" of 1 tasks of 12000 millicores and 60 seconds arrives
    And 0.5 seconds pass in the simulation
    And a submission "late" of 1 tasks of 7000 millicores and 1 seconds arrives
    And 5 seconds pass in the simulation
    Then there are 0 lines "step-waits"

  Scenario: Few of the steps that wait are logged, and only after a while
    Guards against a log that fills while hundreds of submissions wait.
    Given 3 workers and an owner
    And the advisory service allows no worker
    When 8 submissions with advice arrive
    And 2 seconds pass in the simulation
    Then there are 0 lines "step-waits"
    When 1.9 seconds pass in the simulation
    Then there are 5 lines "step-waits"

  Scenario: Tasks that stand still are started elsewhere although another worker is on probation
    Guards against an idle worker on probation that keeps others from being judged as slow.
    Given 3 workers and an owner
    And worker "w0" is on probation
    When a service "feed" of 1 tasks, one on each worker of rack "r-1", arrives
    And 8 seconds pass in the simulation
    And tasks on worker "w1" stand still from now on
    And a submission "kept" of 1 tasks of 2000 millicores and 1 seconds arrives
    And 6 seconds pass in the simulation
    Then "kept" is completed
    And no invariant was violated

  Scenario: A gang doesn't wait for a run that has lasted far longer than its estimate
    Guards against a gang that waits for a run which is expected to end soon at any time.
    Given 2 workers and an owner
    And worker "w0" is on probation
    And tasks on worker "w1" take 100 times as long
    When a submission "stuck" of 1 tasks of 13000 millicores and 1 seconds on rack "r-1" arrives
    And 4.5 seconds pass in the simulation
    And worker "w0" is on probation
    And a gang "narrow" of 2 tasks of 3500 millicores with priority 1 arrives after 0 seconds
    And 1 seconds pass in the simulation
    Then "narrow" has started
    And no invariant was violated

  Scenario: A gang doesn't wait for a long task beside a slow worker that is free
    Guards against an accepted submission of which nothing starts beside capacity for it twice over.
    Given 2 workers and an owner
    When a submission "long" of 1 tasks of 13000 millicores and 60 seconds on rack "r-1" arrives
    And 1 seconds pass in the simulation
    And worker "w0" is on probation
    And a gang "narrow" of 2 tasks of 3500 millicores with priority 1 arrives after 0 seconds
    And 2.5 seconds pass in the simulation
    Then "narrow" has started
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

  Scenario Outline: Work that outlasts a gang's reservation isn't held for long beside unused workers
    Guards against accepted work that waits for as long as a gang does, beside workers that are nearly
    empty, since the gang has reserved all of them and one long run keeps it from starting.
    Given 8 workers and an owner
    When a submission "long" of 1 tasks of 2000 millicores and 100 seconds arrives
    And 1 seconds pass in the simulation
    And a gang "wide" of 8 tasks of 16000 millicores and 30 seconds arrives
    And 2 seconds pass in the simulation
    And <arrival>
    And 3 seconds pass in the simulation
    Then "ordinary" has started
    And "wide" remains queued
    When "long" is cancelled
    And "ordinary" is cancelled
    And 3 seconds pass in the simulation
    Then "wide" has started
    And no invariant was violated

    Examples:
      | arrival                                                                          |
      | a submission "ordinary" of 1 tasks of 1000 millicores and 80 seconds arrives     |
      | a service "ordinary" of 2 tasks of 1000 millicores arrives                       |
      | a gang "ordinary" of 3 tasks of 4000 millicores and 80 seconds arrives |

  Scenario: A service of many tasks is placed in time proportional to their number
    Guards against an owner that hangs in one placement pass, and is replaced by others that hang too.
    Then placing 1500 tasks of a service on 24 workers takes at most 4 times as many calls as 500
