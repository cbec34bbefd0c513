Feature: Workers that a new owner can't reach

  Entry instances as real processes. One worker is cut off from all of them in silence and goes on
  with what it runs until its lease expires.

  Scenario: A submission that is sent again is reported with the revision of its row
    Guards against owners that don't know whether a submission is older than a takeover, so that it
    waits for unreached workers.
    Given rows of the queues that two instances store
    When one instance stores a submission, then another one, and the other instance the first one again
    Then both report the first submission with the revision of its row

  Scenario: The owner learns the revision of a submission from the notice of another instance
    Guards against new submissions that wait for the change feed while a worker is unreached.
    Given 3 entry instances and 1 queue workers
    When the owner has reached every worker
    And a submission is sent to every instance
    Then the owner has queued each of them by the revision of its row

  Scenario Outline: A submission that is sent again after a takeover runs once
    Guards against a new owner that takes a submission for newer than the takeover since a caller
    has sent it again: it doesn't wait for the lease of the worker that still runs its tasks.
    Given <instances> entry instances and 5 queue workers in two zones
    When a submission of 8 tasks of 30 seconds runs on 4 workers
    And no instance reaches one of its workers any more
    And <owners> owners in a row <end>
    And the submission is sent again to every instance that is left
    And 1.5 seconds of real time pass
    Then the stand-ins saw no violation

    Examples:
      | instances | owners | end             |
      | 3         | 1      | receive SIGTERM |
      | 4         | 2      | are killed      |
