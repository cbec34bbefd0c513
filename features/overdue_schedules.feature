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
