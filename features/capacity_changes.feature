Feature: Workers whose capacity changes while they run
  A worker's capacity may shrink and grow again. What its entry shows counts some seconds later, also
  for starts that were decided before.

  Scenario: A submission that fits no worker for a while is kept
    Guards against work that is given up since its workers have shrunk for the moment.
    Given 2 workers and an owner
    When every worker shrinks to 4000 millicores
    And 1 seconds pass in the simulation
    And a submission "wide" of 2 tasks of 9000 millicores and 2 seconds arrives
    And 10 seconds pass in the simulation
    Then "wide" remains queued
    When every worker grows to 16000 millicores
    And 5 seconds pass in the simulation
    Then "wide" is completed
    And no invariant was violated

  Scenario: A gang waits for workers that have shrunk
    Guards against members that are placed by a capacity which their worker no longer has.
    Given 4 workers and an owner
    And 60 submissions of 2 tasks arrive over 20 seconds
    When a submission "wide" of a gang of 4 tasks of 12000 millicores arrives
    And every worker shrinks to 10000 millicores
    And 15 seconds pass in the simulation
    And every worker grows to 16000 millicores
    And 30 seconds pass in the simulation
    Then every submission is completed
    And no invariant was violated

  Scenario: A planned start is not sent to a worker that has shrunk
    Guards against a worker over its capacity: the start of a suspect waits for the store, and the
    worker shrinks meanwhile.
    Given 2 workers and an owner
    And task 0 of "deadly" crashes its worker after 0.1 seconds for 1 seconds
    When a submission "deadly" of 1 tasks of 9000 millicores and 5 seconds arrives
    And its worker has crashed 2 times under "deadly"
    And the store rejects writes
    And a start of "deadly" is planned
    And every worker shrinks to 4000 millicores
    And 6 seconds pass in the simulation
    And the store accepts writes
    And 2 seconds pass in the simulation
    Then "deadly" has 2 starts
    And no invariant was violated

  Scenario: An unanswered start is not repeated at a worker that has shrunk
    Guards against a worker over its capacity: it is cut off as the start is sent, and the start is
    sent again once it is in contact.
    Given 1 workers and an owner
    When worker "w0" is partitioned
    And a submission "wide" of 1 tasks of 9000 millicores and 2 seconds arrives
    And 0.05 seconds of simulated time pass
    And every worker shrinks to 4000 millicores
    And 4.4 seconds of simulated time pass
    And worker "w0" is no longer partitioned
    And 3 seconds pass in the simulation
    Then "wide" has 0 starts
    And no invariant was violated

  Scenario Outline: Capacity that changes beside random faults violates no invariant
    Guards against starts over the capacity, and against submissions that are left open, around lost
    commands, late ones, partitions, restarts, crashes and changes of owner.
    When the random simulations <first> to <last> with changes of capacity are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation

    Examples:
      | first | last |
      | 1     | 80   |

  Scenario Outline: Random simulations detect owners that ignore capacity and crashes
    Guards against checks that would pass whatever the owner did.
    When random simulations with crashing tasks and changes of capacity run until one violates an invariant, with the fault: <fault>
    Then one of the first 60 simulations violated an invariant

    Examples:
      | fault                           |
      | changes of capacity are ignored |
      | a new owner forgets crashes     |
