Feature: Schedules with many overdue occurrences
  What is overdue by far goes on at some rate, and costs other work neither its turn nor the owner
  its time and memory.

  Scenario: Other work starts at once beside thousands of occurrences that are overdue by years
    Guards against a submission that goes first as a whole since each of its occurrences has waited
    beyond its bound, so that other steps find no worker and get no advice.
    Given 4 workers and an owner
    When a schedule "daily" of 2000 overdue occurrences of 1 tasks of 2000 millicores arrives
    And 12 submissions of 2 tasks of 2000 millicores arrive, one a second
    And 14 seconds pass in the simulation
    Then each of them has started within 1 second
    And "daily" has had at least 500 starts
    And no invariant was violated

  Scenario: A large submission beyond its bound leaves most workers to others
    Guards against thousands of tasks that all go before urgent ones when their submission has its
    turn, and against tasks of which none runs in that turn.
    Given 3 workers and an owner
    When urgent work keeps the workers full for 70 seconds
    And a submission "large" with priority 5 of 500 tasks of 3000 millicores arrives
    And 29 seconds pass in the simulation
    Then "large" has not started
    And over 20 seconds, "large" uses 3 to 12 of 48 cores at most
    And no invariant was violated

  Scenario: Tasks that last and have had a turn don't keep others from theirs
    Guards against a part of the workers that is used up for good, so that nothing else that has waited
    beyond its bound ever starts.
    Given 3 workers and an owner
    When urgent work keeps the workers full for 70 seconds
    And a service with priority 5 of 8 tasks of 3000 millicores arrives
    And a submission "low" with priority 5 arrives
    And 29 seconds pass in the simulation
    Then "low" has not started
    When 15 seconds pass in the simulation
    Then "low" has started
    And no invariant was violated

  Scenario: A placement pass doesn't grow with what is overdue
    Guards against an owner that is busy for seconds at a time with occurrences that can't start yet,
    so that it extends no leases, and that needs more memory than its machine has.
    Given 4 workers and an owner
    When a schedule "daily" of 20000 overdue occurrences of 1 tasks of 2000 millicores arrives
    And 3 seconds pass in the simulation
    Then a placement pass ranks at most 96 steps
    And at most 128 steps of "daily" are held in memory
    And "daily" has had at least 100 starts

  Scenario: What is done of a schedule takes little room, and no later owner runs it again
    Guards against progress that outgrows a row of the store, and against an owner that doesn't know
    which occurrences an earlier one has completed.
    Given 4 workers and an owner
    When a schedule "daily" of 600 overdue occurrences of 1 tasks of 2000 millicores arrives
    And 3 seconds pass in the simulation
    Then the stored progress of "daily" names at least 150 tasks as done in at most 1500 bytes
    When another owner takes over after the former one has ended
    And 30 seconds pass in the simulation
    Then "daily" is completed
    And no task of "daily" has run twice
    And no invariant was violated

  Scenario: An occurrence that is due now doesn't wait behind overdue ones of its schedule
    Guards against a backlog that fills what may wait of a schedule, so that new occurrences that are
    still in time are never looked at.
    Given 1 workers and an owner
    When a schedule "minutely" of 2000 occurrences of 1 tasks of 16000 millicores, due every second for 1000 seconds, arrives
    And 30 seconds pass in the simulation
    Then an occurrence of "minutely" that was due in the last 10 seconds has started
    And an occurrence of "minutely" that was due long ago has started

  Scenario: Occurrences beyond the bound are opened and closed without a loss
    Guards against occurrences that are skipped, run twice or are never closed.
    Then for the seeds 1 to 200, a schedule of random length runs each occurrence once

  Scenario: Equal steps are compared with the workers once, and few of them ask for advice
    Guards against a backlog that occupies the owner in each pass with what can't start, and against
    calls for advice that wait behind thousands of others.
    Given 4 workers and an owner
    When 1500 submissions of 1 tasks of 2000 millicores arrive at once
    And 0.02 seconds pass in the simulation
    Then at most 65 steps wait for advice
    When 2 seconds pass in the simulation
    Then a placement pass tries 0 to 100 steps
    And at least 110 of them have started
    And at most 65 steps wait for advice
    And no invariant was violated

  Scenario: Long placement passes leave time for leases and answers
    Guards against an owner that does nothing but placement passes while events arrive, and against a
    line for each pass.
    Then passes of 2, 30 and 400 milliseconds are followed by pauses of 4, 30 and 100 milliseconds
    And passes of 30 milliseconds over 3 seconds are reported in 2 to 4 lines

  Scenario: What is done of a step of many tasks takes little room
    Guards against progress that outgrows a row of the store, so that no progress of any submission is
    stored that shares a transaction with it.
    Given 4 workers and an owner
    When a submission "large" of 13000 tasks of 300 millicores and 1 seconds arrives
    And 25 seconds pass in the simulation
    Then the stored progress of "large" names at least 1000 tasks as done in at most 10000 bytes
    And what is stored of "large" is read as it was

  Scenario: Processes serve other callers beside a schedule of thousands of overdue occurrences
    Guards against an owner, and each one after it, that is occupied by one caller's schedule or grows
    beyond the memory of its machine, and against a schedule that doesn't go on.
    Given 3 entry instances and 4 queue workers
    When a schedule "5c4ed00000000001" of 20000 days from 1970 on is sent to instance 0
    Then submissions sent to each instance complete, and with them 20 tasks of "5c4ed00000000001"
    And after 1.5 seconds no line "placement-passes" has more than 200 steps
    When the instance that owns the queues is killed for good
    Then submissions sent to each instance complete, and with them 20 tasks of "5c4ed00000000001"
    And after 1.5 seconds no line "placement-passes" has more than 200 steps
    And no process holds more than 150 MB
