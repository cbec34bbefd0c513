Feature: Tasks that crash their workers
  A task may crash each worker that starts it. It is given up within its budget: at most two more
  starts once three workers have crashed under it. What ran beside it, and what runs on workers that
  crash for other reasons, is not given up.

  Scenario Outline: A task that crashes each worker is given up within its budget
    Guards against one task that crashes worker after worker.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And <which> of "deadly" crashes its worker after <age> seconds
    When a submission "deadly" of 4 tasks of 4500 millicores and 5 seconds arrives
    And 50 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And at most <crashes> workers crashed
    And no invariant was violated

    Examples:
      | which      | age | crashes |
      | task 0     | 0   | 5       |
      | task 0     | 0.1 | 5       |
      | task 0     | 4.5 | 5       |
      | every task | 0   | 12      |
      | every task | 0.1 | 12      |

  Scenario Outline: A task that crashes its workers is given up although they stay away
    Guards against a count that misses workers whose leases expire before they are back.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And task 0 of "deadly" crashes its worker after 0.2 seconds for <down> seconds
    When a submission "deadly" of 4 tasks of 4500 millicores and 5 seconds arrives
    And 70 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And no invariant was violated

    Examples:
      | down |
      | 4    |
      | 8    |

  Scenario Outline: A gang that crashes its workers is given up within its budget
    Guards against gangs that are started for ever, since their members crash one worker or all.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And <which> of "deadly" crashes its worker after 0.1 seconds
    When a submission "deadly" of a gang of 4 tasks of 9000 millicores arrives
    And 60 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And no invariant was violated

    Examples:
      | which      |
      | task 1     |
      | every task |

  Scenario: A service whose tasks crash their workers is given up within its budget
    Guards against services that are restarted for ever, as their failures have no limit.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And task 0 of "deadly" crashes its worker after 0.5 seconds
    When a service "deadly" of 3 tasks of 3000 millicores arrives
    And 50 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And no invariant was violated

  Scenario Outline: The budget outlives the owner that gave the command
    Guards against a count that is lost with its owner, which ends before it can know of the crash.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And task 0 of "deadly" crashes its worker after 0.1 seconds
    And the owner ends as a worker crashes for the <first>. and the <second>. time
    When a submission "deadly" of 4 tasks of 4500 millicores and 5 seconds arrives
    And 60 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And no invariant was violated

    Examples:
      | first | second |
      | 1     | 0      |
      | 2     | 0      |
      | 3     | 0      |
      | 1     | 3      |
      | 2     | 3      |
      | 3     | 4      |

  Scenario Outline: The budget outlives a series of owners
    Guards against starts that no owner knows of: owners end one after another, each as the task has
    crashed its worker and before the crash is noticed.
    Given 12 workers and an owner
    And 60 submissions of 4 tasks arrive over 30 seconds
    And task 0 of "deadly" crashes its worker after <age> seconds
    And the owner ends at each of the first <count> crashes
    When a submission "deadly" of 4 tasks of 4500 millicores and 5 seconds arrives
    And 70 seconds pass in the simulation
    Then "deadly" is failed
    And all submissions but "deadly" are completed
    And no invariant was violated

    Examples:
      | age | count |
      | 0.1 | 2     |
      | 0.1 | 3     |
      | 0.1 | 4     |
      | 4.5 | 3     |

  Scenario: A run that was moved off a leaving worker is not counted by the next owner
    Guards against work that is given up for crashes that were none: the worker has left and is back
    as another incarnation, and the next owner knows only that the run was started there.
    Given 3 workers and an owner
    When a submission "moved" of 1 tasks of 4500 millicores and 12 seconds arrives
    And 1 seconds pass in the simulation
    And the worker of "moved" leaves after 1.5 seconds and returns 1 seconds later
    And another owner takes over
    And 1 seconds pass in the simulation
    Then no crash is counted under "moved"
    When 30 seconds pass in the simulation
    Then "moved" is completed
    And no invariant was violated

  Scenario: A planned start of a cancelled submission is not sent
    Guards against a worker over its capacity: the place of a suspect is free once its submission is
    cancelled, and a start that waited for the store was sent nevertheless.
    Given 2 workers and an owner
    And task 0 of "deadly" crashes its worker after 0.1 seconds for 1 seconds
    When a submission "deadly" of 1 tasks of 4500 millicores and 5 seconds arrives
    And 1 seconds pass in the simulation
    And the store rejects writes
    And a start of "deadly" is planned
    And "deadly" is cancelled in the simulation
    And 5 seconds pass in the simulation
    Then "deadly" has 1 starts
    And no invariant was violated

  Scenario Outline: A task that crashes its workers is given up by real processes
    Guards against starts beyond the budget that pass through the store, the workers' own reports and
    owners that are killed as the crash happens.
    Given 3 entry instances and 4 queue workers
    When task 0 of submission "00000000000000d1" crashes its workers after <age> seconds
    And the owner is killed each time that a task crashes its worker, <kills> times
    And submission "00000000000000d1" of 2 tasks is sent to instance 0
    And 20 submissions are sent
    Then "00000000000000d1" becomes "failed" at instance 1 within 40 seconds
    And all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation

    Examples:
      | age | kills |
      | 0   | 0     |
      | 0.1 | 0     |
      | 0.1 | 2     |

  Scenario: A task is not started beyond its budget while the store rejects writes
    Guards against counts that exist only in memory when the owner ends with an outage of the store.
    Given 12 workers and an owner
    And task 0 of "deadly" crashes its worker after 0.1 seconds
    When a submission "deadly" of 2 tasks of 4500 millicores and 5 seconds arrives
    And 1 seconds pass in the simulation
    And the store rejects writes
    And 20 seconds pass in the simulation
    And the store accepts writes
    And another owner takes over
    And 40 seconds pass in the simulation
    Then "deadly" is failed
    And no invariant was violated

  Scenario Outline: A start without an answer is not repeated at a worker that may have restarted
    Guards against a run that is started twice: the worker crashes before it answers, and its next
    incarnation carries out the command when it is sent again.
    Given 1 workers and an owner
    And task 0 of "deadly" crashes its worker after 0 seconds for <down> seconds
    When a submission "deadly" of 1 tasks of 4500 millicores and 5 seconds arrives
    And 2 seconds pass in the simulation
    Then no invariant was violated

    Examples:
      | down |
      | 0.25 |
      | 0.45 |
      | 0.55 |

  Scenario: Workers that crash together blame no task
    Guards against work that is given up or held back since a rack was lost, however often.
    Given 12 workers and an owner
    And 80 submissions of 4 tasks arrive over 32 seconds
    When the workers of rack "r-0" and "r-1" crash by turns each 6 seconds for 30 seconds
    And 30 seconds pass in the simulation
    Then every submission is completed
    And no invariant was violated

  Scenario: Single workers that crash blame no task for long
    Guards against bystanders that are given up: workers crash one at a time, without a task as the cause.
    Given 12 workers and an owner
    And 80 submissions of 4 tasks arrive over 32 seconds
    And a service "lasting" of 3 tasks of 3000 millicores is running
    When one worker crashes each 1.5 seconds for 30 seconds
    And 30 seconds pass in the simulation
    Then all submissions but "lasting" are completed
    And "lasting" is running
    And no invariant was violated

  Scenario: Silent workers blame no task
    Guards against work that is given up since its worker was only silent: its leases expire, and it
    answers again as the same incarnation.
    Given 3 workers and an owner
    When a submission "long" of 3 tasks of 9000 millicores and 8 seconds arrives
    And each worker is partitioned for 6 seconds, 4 times in turn
    And 60 seconds pass in the simulation
    Then "long" is completed
    And no invariant was violated

  Scenario Outline: Random faults beside tasks that crash their workers violate no invariant
    Guards against budgets that are exceeded, and against submissions that are given up without a cause
    or left open, around lost and late commands, partitions, restarts and changes of owner.
    When the random simulations <first> to <last> with tasks that crash their workers are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation

    Examples:
      | first | last |
      | 1     | 60   |
      | 61    | 140  |

  Scenario Outline: Many submissions crash workers on a larger site
    Guards against bystanders that are given up, or left open, while hundreds of suspects wait for few
    workers of their own, and the owner is replaced meanwhile.
    Given 48 workers and an owner
    When 600 submissions of random size arrive over 30 seconds, and of those from 5 to 15 seconds <share> of 100 crash their workers after <age> seconds
    And the owner ends 12 seconds after the first of them
    And 70 seconds pass in the simulation
    Then every submission that crashes its workers is failed
    And every other submission is completed
    And at most 5 workers crashed for each task that crashes them
    And no invariant was violated

    Examples:
      | share | age |
      | 2     | 0.1 |
      | 10    | 0.1 |
      | 10    | 0   |

  Scenario Outline: Bystanders on few workers are not given up beside many other faults
    Guards against work that is given up since it was hit by four crashes of which it caused none.
    When the random simulation <seed> with crashing tasks, services, changes of capacity and leaving workers is run
    Then no simulation violated an invariant

    Examples:
      | seed |
      | 1027 |
      | 1032 |

  Scenario: The budget outlives two owners that are replaced in one outage of the store
    Guards against starts that no owner knows of: the store takes no writes while two owners, one after
    the other, start a task that crashes its worker, and are replaced.
    When the random simulation 2637 with crashing tasks and services is run
    Then no simulation exceeded the budget of a task

  Scenario: A suspect that is tried twice in one placement pass keeps one worker empty
    Guards against workers that are kept empty for good for a suspect that has had its turn, so that
    gangs find no room beside them.
    Given 3 workers and an owner
    And a suspect after two crashes beside workers that are all in use
    When it is tried twice in one placement pass
    Then one worker is kept empty for it
    When a placement pass doesn't try it
    Then no worker is kept empty for it
