Feature: Stale reads after a lost history
  After the store has lost the history of its changes, reads may be seconds stale, with a revision
  that is newer than their rows. What such a read misses is found later.

  Scenario: A row that was written in the gap is found
    Guards against submissions that the owner never sees, and against instances that miss a new owner.
    Given a store that loses its history while a row is written, with stale reads for a while
    When a watcher follows the table
    Then it finds the row once reads are no longer stale

  Scenario: A worker that left in the gap is no longer listed
    Guards against starts on a worker that has left, and against a new worker that is not used.
    Given a store that loses its history while a worker leaves and another comes
    When an owner follows the list of workers
    Then it lists only the new worker once reads are no longer stale

  Scenario: A new owner doesn't start again what has ended before a stale read
    Guards against tasks that run a second time: an owner that takes over reads the work without the
    final states and the progress that were stored last.
    Given a store that loses its history while a submission ends, with stale reads for a while
    When an owner loads the work and places tasks
    Then it starts nothing

  Scenario Outline: A new owner waits for a worker that a stale roster shows as closed
    Guards against a second run of a task: the worker was opened again, and runs a submission that is
    newer than the closing in the stale roster.
    Given a roster that has changed before an owner loads it with <kind> reads
    When the owner places tasks while it can't reach a worker of that roster
    Then it starts nothing

    Examples:
      | kind    |
      | current |
      | stale   |

  Scenario: A submission is not denied by a stale read
    Guards against a 410 for an accepted submission that a stale read does not show.
    Given 2 entry instances and 1 queue workers
    When the owner has reached every worker
    And the store's reads are stale for 4.0 seconds
    And 2.0 seconds of real time pass
    Then a GET of "/jobs/00000000000000e4" is refused with 503 and a Retry-After
    And every instance answers a GET of "/jobs/00000000000000e4" with 410 within 5.0 seconds

  Scenario: A cancellation is not denied by a stale read
    Guards against a 410 for accepted work, which then goes on although its caller was told that it does
    not exist.
    Given 3 entry instances and 2 queue workers
    When the owner has reached every worker
    And the store's reads are stale for 3.0 seconds and its history is dropped
    Then submissions are accepted by each instance, and their cancellations by each other instance
    And every instance answers a GET of "/jobs/00000000000000e4" with 410 within 5.0 seconds

  Scenario: A task that ended before its submission became known is not started again
    Guards against a second run of a task that is done: a former owner has started it from a notice;
    its end is acknowledged without being stored, since the store is unavailable for long.
    Given a store without the submission that a former owner has started
    When the store is unavailable for longer than ends of unknown submissions are kept
    Then it starts nothing

  Scenario: The end of a task without any row of its submission is acknowledged
    Guards against a worker that reports ends of submissions for ever whose rows have been deleted.
    Given a store without any row
    When an owner learns that a task of the submission has ended
    Then the end is acknowledged

  Scenario: The end of a task is not acknowledged while the rows of its submission can't be read
    Guards against an end that is acknowledged on the word of a clock: reads fail, so that nothing
    shows whether the submission has a row.
    Given a store without any row
    When reads of the rows fail while an owner learns that a task of the submission has ended
    Then the end is not acknowledged
    When the store can be read again
    Then the end is acknowledged

  Scenario: Progress that a stale read has missed is kept
    Guards against a second run of tasks that are done: an owner that has loaded a submission without
    its newest progress takes the row that it finds later for an earlier write of its own.
    Given a store with progress that a new owner has not loaded
    When the owner stores the end of another task
    Then the store holds all tasks that are done, and the run that failed and the one that crashed
    And tasks that were done in the store are stopped if they have been started, and start no more

  Scenario: Progress whose write got no response is not taken for that of another owner
    Guards against crashes that are counted again which have been cleared since they were stored.
    Given a store that carries out the first write of progress but does not respond
    When the owner stores the end of another task
    Then the store holds the progress of the owner alone

  Scenario: Progress that can't be read is not replaced
    Guards against a second run of tasks that are done according to a row that a newer build has written.
    Given a store with progress that a new owner has not loaded, and can't read
    When the owner stores the end of another task
    Then the progress is not replaced
    And the end is not acknowledged
