Feature: Placement under failures
  No task runs twice, no worker is over-committed and nothing durable is lost, whatever fails.

  Background:
    Given a cell with 2 entry instances and 3 workers of 4 processors
    And a shard owner

  Scenario: A paused owner commits after a takeover (guards against two owners allocating)
    When job "early" with 4 tasks is submitted
    And 2 seconds pass
    And the owner is paused
    And another instance owns the shard
    And job "late" with 8 tasks is submitted to the paused owner
    And the paused owner resumes
    And 4 seconds pass
    Then the last operation is refused with "outcome-unknown"
    And nothing of job "late" is durable
    And the former owner does not own the shard
    And 4 tasks of "early" run
    And 4 starts were carried out in all

  Scenario: The answer to a commit is lost (guards against deciding it again)
    Given the answers to the next 2 commits are lost
    When job "certificates" with 4 tasks is submitted
    And 5 seconds pass
    Then the submissions are answered as new
    And 4 tasks of "certificates" run
    And 4 starts were carried out in all

  Scenario: A paused owner sends its starts late (guards against a task in two places)
    Given the owner's starts are held back
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner is paused
    And another instance owns the shard
    And 2 seconds pass
    And the held starts are sent
    And 10 seconds pass
    Then 4 tasks of "certificates" run
    And no task ever ran in two places

  Scenario: The owner never hears from workers (guards against ending a start too early)
    Given the owner does not hear from workers
    When job "certificates" with 4 tasks is submitted
    And 4.5 seconds pass
    Then 4 starts were carried out in all
    And 4 seconds pass
    And 8 starts were carried out in all
    And no task ever ran in two places

  Scenario: A takeover finds placed attempts that run (guards against starting them again)
    Given the owner does not hear from workers
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner dies
    And another instance owns the shard
    And 10 seconds pass
    Then 4 tasks of "certificates" run
    And 4 starts were carried out in all

  Scenario: A takeover finds placed attempts that never started (guards against lost tasks)
    Given the owner's starts are held back
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner dies
    And another instance owns the shard
    Then no task starts until the leases of the former starts have passed
    And 10 seconds pass
    And 4 tasks of "certificates" run

  Scenario: A takeover finds running attempts (guards against leases that lapse unnoticed)
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And the owner dies
    And another instance owns the shard
    And 40 seconds pass
    Then 4 tasks of "certificates" run
    And 4 starts were carried out in all

  Scenario: A worker is gone (guards against tasks that wait for a machine that is no more)
    When job "certificates" with 4 tasks is submitted
    And 10 seconds pass
    And a worker with tasks is removed
    And 8 seconds pass
    Then 4 tasks of "certificates" run

  Scenario: A worker is partitioned (guards against starting its tasks before they are dead)
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And a worker with tasks cannot be reached
    And 40 seconds pass
    Then 4 tasks of "certificates" run
    And no task ever ran in two places

  Scenario: A worker is partitioned during a takeover (guards against an unknown last renewal)
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And a worker with tasks cannot be reached
    And the owner is paused
    And another instance owns the shard
    And 60 seconds pass
    Then 0 tasks of "certificates" have been placed again
    And the paused owner leaves the platform's list
    And 30 seconds pass
    And 4 tasks of "certificates" run

  Scenario: A gang waits for room (guards against a gang that starts in part)
    When job "small" with 6 tasks that run 10 seconds is submitted
    And 1 second passes
    And job "survey" of kind gang with 10 tasks of 1 processors is submitted
    And 3 seconds pass
    Then 0 tasks of "survey" run
    And 12 seconds pass
    And 10 tasks of "survey" run

  Scenario: A gang that cannot fit at once (guards against a gang that waits for ever)
    When job "survey" of kind gang with 13 tasks of 1 processors is submitted
    Then the last operation is refused with "impossible-job"

  Scenario: A member of a gang fails (guards against a gang that goes on in part)
    When job "survey" of kind gang with 6 tasks of 1 processors is submitted
    And 2 seconds pass
    And one task of "survey" fails
    And 1.2 seconds pass
    Then 0 tasks of "survey" run
    And 5 seconds pass
    And 6 tasks of "survey" run

  Scenario: The store is down (guards against starts that are not durable and ends that are lost)
    When job "short" with 4 tasks that run 10 seconds is submitted
    And job "long" with 8 tasks that run 100 seconds is submitted
    And 2 seconds pass
    And the store goes down
    And job "short" is cancelled
    And job "more" with 2 tasks is submitted
    And 60 seconds pass
    Then the last operation is refused with "outcome-unknown"
    And job "later" with 2 tasks is submitted
    And the last operation is refused with "store-unavailable"
    And 8 tasks of "long" run
    And 12 starts were carried out in all
    And the store comes back
    And 5 seconds pass
    And job "short" is done
    And 8 tasks of "long" run

  Scenario: The owner shuts down (guards against waiting for a timeout at each release)
    When job "certificates" with 4 tasks is submitted
    And 2 seconds pass
    And the owner is asked to stop
    And 3 seconds pass
    Then another instance owns the shard
    And 4 tasks of "certificates" run
    And 4 starts were carried out in all

  Scenario: A worker becomes smaller (guards against reserving more than it has)
    When job "certificates" with 12 tasks that run 100 seconds is submitted
    And 2 seconds pass
    And a worker has only 2 processors left
    And 4 seconds pass
    Then 10 tasks of "certificates" run
    And the reserved amounts fit every worker

  Scenario: Two owners under random failures (guards against any interleaving that breaks a rule)
    Then random failures of two owners break no invariant
