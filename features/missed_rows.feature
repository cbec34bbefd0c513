Feature: Rows that the first read of a process misses
  The store may have lost its history before a process starts. The first read is stale then, with a
  revision that is newer than its rows, and the process has not seen the loss.

  Scenario: A row that a stale first read misses is found
    Guards against submissions that no owner ever sees.
    Given a store whose reads are stale when a process starts
    When a watcher follows the table
    Then it finds the row once reads are no longer stale

  Scenario: A worker that a stale first list misses is found
    Guards against starts on a worker that has left, and against a new worker that is never used.
    Given a list of workers that is stale when an owner reads it first
    When an owner reads the list and places tasks
    Then it lists only the new worker once reads are no longer stale

  Scenario Outline: A submission that a new owner has not loaded runs once
    Guards against a submission that is never started, and against a second run of tasks that a former
    owner has stored as done.
    Given a store with a submission and its <record> that a stale first read misses
    When a new owner loads the table, and <report>
    Then it starts <starts>

    Examples:
      | record   | report                                            | starts                |
      | progress | reads are no longer stale                         | only what is not done |
      | outcome  | reads are no longer stale                         | none of the tasks     |
      | progress | a peer reports the submission with its revision   | only what is not done |
      | outcome  | a peer reports the submission with its revision   | none of the tasks     |
      | progress | a peer reports the submission without a revision  | only what is not done |

  Scenario: Progress that a stale first read misses is found
    Guards against a second run of tasks that a former owner has stored as done.
    Given a store with a submission whose progress alone a stale first read misses
    When a new owner that can't reach its worker loads the table, and reads are no longer stale
    And it reaches the worker
    Then it starts only what is not done

  Scenario: An instance reports a submission that the owner doesn't know
    Guards against a submission that is never started although an instance finds it stored.
    Given 2 entry instances and 1 queue workers
    When the owner has reached every worker
    And 7.0 seconds of real time pass
    And the store holds submission "00000000000000e7", of which the change feed says nothing
    Then "00000000000000e7" is completed within 3.0 seconds at the instance that is not the owner
