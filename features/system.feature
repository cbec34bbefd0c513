Feature: Failures of a cluster of processes
  Real processes on loopback serve requests and jobs while faults are injected.

  Scenario: A rolling restart under load interrupts no request
    Guards against requests that are lost or run twice while each instance shuts down and restarts
    in turn.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When every entry instance restarts gracefully in turn
    Then every restarted instance exited with status 0
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: Killed instances lose no batch task and repeat none
    Guards against tasks that are lost or done twice: an instance and then the owner of the shard
    are killed while a job runs.
    Given a cluster of 4 entry instances and a service of 6 tasks
    And load on every entry instance
    And a batch job "certificates" of 10 tasks of 3 s is submitted
    When an instance that does not own the shard is killed
    And 1 s pass while the load continues
    And the owner of the shard is killed
    Then every job is done within 15 s and no task is done twice
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: A paused instance and a paused owner resume without violations
    Guards against a resumed process that acts on outdated state: others replace it during the
    pause.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When an instance that does not own the shard is paused for 4 s
    And a batch job "running" of 10 tasks of 3 s is submitted
    And 0.5 s pass while the load continues
    And a batch job "placed" of 10 tasks of 1 s is submitted
    And the owner of the shard is paused for 4 s
    Then every job is done within 20 s and no task is done twice
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: Idempotent requests continue while the table is unavailable
    Guards against an outage of the table that stops all requests, and against a dispatch of a
    non-idempotent request without a claim.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When the table is unavailable for 6 s
    Then while it was unavailable idempotent requests completed and the others were not run
    And a configuration change is accepted within 5 s
    When a batch job "after" of 5 tasks of 0.5 s is submitted
    Then every job is done within 10 s and no task is done twice
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: Lost responses of the table repeat no work
    Guards against applying a transaction twice: the table has applied it, and the instance sends it
    again.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When the table loses responses to commits with probability 0.5
    And a batch job "first" of 10 tasks of 0.5 s is submitted
    And a batch job "second" of 10 tasks of 0.5 s is submitted
    And 4 s pass while the load continues
    And the injected faults are removed
    Then the table has answered repeated transactions with conflicts
    And every job is done within 10 s and no task is done twice
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: One of two concurrent changes of the configuration is accepted
    Guards against an operator whose change is overwritten silently by another one.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When two operators change the same version at different instances 5 times
    Then one change of each race is accepted and the other is a configuration-conflict
    And no client saw a wrong answer and the ledger shows no violation

  Scenario: A draining worker gets no requests after a few seconds
    Guards against instances that do not know that an upstream is leaving.
    Given a cluster of 3 entry instances and a service of 6 tasks
    And load on every entry instance
    When a worker of the service starts draining
    And 7 s pass while the load continues
    Then no request reaches that worker more than 5 s later
    And no client saw a wrong answer and the ledger shows no violation
