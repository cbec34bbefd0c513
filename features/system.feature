Feature: Failures of a cluster of processes

  Scenario: A rolling restart under load cuts no request
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When every entry instance restarts gracefully in turn
    Then every restarted instance had exited with 0
    And the callers and the ledger saw no violation
