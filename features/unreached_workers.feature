Feature: Workers that a new owner can't reach

  Entry instances as real processes. One worker is cut off from all of them in silence and goes on
  with what it runs until its lease expires.

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
