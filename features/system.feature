Feature: Failures of a cluster of processes

  Scenario: A rolling restart under load cuts no request
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When every entry instance restarts gracefully in turn
    Then every restarted instance had exited with 0
    And the callers and the ledger saw no violation

  Scenario: Killed instances lose no batch task and repeat none
    Given a cluster of 4 entry instances and a service of 6 tasks
    And load on every entry instance
    And a batch job "certificates" of 10 tasks of 3 s is submitted
    When an instance that does not own the shard is killed
    And 1 s pass under load
    And the owner of the shard is killed
    Then every job ends as done within 15 s, with no task done twice
    And the callers and the ledger saw no violation

  Scenario: A paused instance and a paused owner resume without harm
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When an instance that does not own the shard is paused for 4 s
    And a batch job "running" of 10 tasks of 3 s is submitted
    And 0.5 s pass under load
    And a batch job "placed" of 10 tasks of 1 s is submitted
    And the owner of the shard is paused for 4 s
    Then every job ends as done within 20 s, with no task done twice
    And the callers and the ledger saw no violation

  Scenario: Idempotent requests go on while the table is down
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When the table is down for 6 s
    Then while it was down idempotent requests completed and the others were not run
    And a configuration change is accepted within 5 s
    When a batch job "after" of 5 tasks of 0.5 s is submitted
    Then every job ends as done within 10 s, with no task done twice
    And the callers and the ledger saw no violation

  Scenario: Lost answers of the table repeat no work
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When the table loses answers of commits with probability 0.5
    And a batch job "first" of 10 tasks of 0.5 s is submitted
    And a batch job "second" of 10 tasks of 0.5 s is submitted
    And 4 s pass under load
    And the faults end
    Then the table had answered repeated transactions with conflicts
    And every job ends as done within 10 s, with no task done twice
    And the callers and the ledger saw no violation

  Scenario: One of two racing operators wins
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When two operators change the same version at different instances 5 times
    Then one change of each race is accepted and the other is a configuration-conflict
    And the callers and the ledger saw no violation

  Scenario: A leaving worker gets no requests after a few seconds
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When a worker of the service begins to leave
    And 7 s pass under load
    Then no request reaches that worker later than 5 s after
    And the callers and the ledger saw no violation
