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
