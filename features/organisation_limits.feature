Feature: Limits and shares of organisations
  What an organisation has running on all workers stays within its limit, whichever owner places its
  tasks, and an organisation that sends more than its share costs the others nothing.

  Scenario: A step that is wider than its organisation may run goes in waves
    Guards against a step that exceeds the limit, or waits until all of it fits.
    Given 4 workers and an owner
    And organisation "a" may use 8000 millicores
    When "a" submits "wide" of 20 tasks of 2000 millicores and 1 seconds
    And 11 seconds pass in the simulation
    Then "wide" is completed
    And "a" has used 8000 millicores at most
    And no invariant was violated

  Scenario: A gang gets room beside small tasks of its organisation
    Guards against a gang that waits for ever since small tasks take all room of the organisation at
    once.
    Given 4 workers and an owner
    And organisation "a" may use 12000 millicores
    When "a" submits 10 tasks of 2000 millicores a second for 20 seconds
    And 5 seconds pass in the simulation
    And "a" submits "gang", a gang of 4 tasks of 3000 millicores
    And 8 seconds pass in the simulation
    Then "gang" has started
    And "a" has used 12000 millicores at most
    And no invariant was violated

  Scenario: A gang that waits beside a service holds no other work of its organisation
    Guards against accepted work that never begins, since room is kept for a gang that may only start
    once tasks have ended that last.
    Given 4 workers and an owner
    And organisation "a" may use 50000 millicores
    When "a" submits "lasting", a service of 9 tasks of 2500 millicores
    And 2 seconds pass in the simulation
    And "a" submits "gang", a gang of 9 tasks of 4000 millicores
    And 4 seconds pass in the simulation
    And "a" submits 2 tasks of 1000 millicores a second for 6 seconds
    And 10 seconds pass in the simulation
    Then no task of the stream has waited for longer than 1 second
    And "gang" remains queued
    When "lasting" is cancelled
    And 5 seconds pass in the simulation
    Then "gang" has started
    And no invariant was violated

  Scenario Outline: Work that ends before a gang's turn goes on beside it
    Guards against work that waits for as long as the gang, though the gang can't use the room yet.
    The gang starts all the same once it can.
    Given 4 workers and an owner
    And organisation "a" may use 50000 millicores
    When "a" submits "before", <before>
    And 1 seconds pass in the simulation
    And "a" submits "gang", a gang of 9 tasks of 4000 millicores
    And 3 seconds pass in the simulation
    And "a" submits 4 tasks of 1000 millicores a second for 30 seconds
    And <takeover>
    And 8 seconds pass in the simulation
    Then no task of the stream has waited for longer than <most> seconds
    And "gang" remains queued
    When 22 seconds pass in the simulation
    Then "gang" has started
    And no invariant was violated

    Examples:
      | before                                                     | takeover                                             | most |
      | a gang of 9 tasks of 2500 millicores and 20 seconds        | 1 seconds pass in the simulation                     | 2.5  |
      | 9 parallel tasks of 2500 millicores and 20 seconds         | 1 seconds pass in the simulation                     | 2.5  |
      | 9 parallel tasks of 2500 millicores and 20 seconds         | another owner takes over after the former one has ended | 2.5  |
      | 9 parallel tasks of 2500 millicores and 20 seconds         | the limit of "a" changes to 50000 millicores         | 2.5  |

  Scenario: Beside mostly unused room, no submission is held for long by a claim
    Guards against a submission with nothing running beside room that a gang keeps until a turn that
    is far away.
    Given 4 workers and an owner
    And organisation "a" may use 40000 millicores
    When "a" submits "before", 1 parallel tasks of 5000 millicores and 40 seconds
    And 1 seconds pass in the simulation
    And "a" submits "gang", a gang of 10 tasks of 4000 millicores
    And 4 seconds pass in the simulation
    And "a" submits "long" of 1 tasks of 1000 millicores and 60 seconds
    And 2 seconds pass in the simulation
    Then "long" has not started
    When 1 seconds pass in the simulation
    Then "long" has started
    And "gang" remains queued
    And "organisation-claims" and "organisation-claim-moved" tell the turn of "gang"

  Scenario: A gang that its limit holds reserves nothing of other organisations
    Guards against workers that are kept free for a gang that may not start.
    Given 2 workers and an owner
    And organisation "a" may use 16000 millicores
    And organisation "b" may use 0 millicores
    When "a" submits "long" of 1 tasks of 2000 millicores and 30 seconds
    And 1 seconds pass in the simulation
    And "a" submits "gang", a gang of 8 tasks of 2000 millicores
    And "b" submits "other" of 15 tasks of 2000 millicores and 2 seconds
    And 4 seconds pass in the simulation
    Then "other" is completed
    And "gang" remains queued

  Scenario: Runs whose start has no answer when their owner is lost count for the next one
    Guards against a limit that is exceeded by an owner that can't know the newest runs.
    Given 4 workers and an owner
    And organisation "a" may use 16000 millicores
    When "a" submits "first" of 8 tasks of 2000 millicores and 5 seconds
    And the owner is lost before a start is answered
    And "a" submits "second" of 8 tasks of 2000 millicores and 1 seconds
    And 20 seconds pass in the simulation
    Then every submission is completed
    And "a" has used 16000 millicores at most
    And no invariant was violated

  Scenario Outline: What may run at an unreached worker counts for the next owner
    Guards against a limit that is exceeded while a new owner doesn't know what runs at a worker.
    Given 4 workers and an owner
    And organisation "a" may use 24000 millicores
    When "a" submits "first" of 8 tasks of 3000 millicores and 20 seconds
    And 1 seconds pass in the simulation
    And "a" submits "other" of 1 tasks of 1000 millicores and 1 seconds
    And a worker that runs "first" is partitioned
    And "<cancelled>" is cancelled
    And another owner takes over after the former one has ended
    And "a" submits "second" of 4 tasks of 3000 millicores and 1 seconds
    And 2 seconds pass in the simulation
    Then "a" has used 24000 millicores at most
    When 40 seconds pass in the simulation
    Then "second" is completed
    And "a" has used 24000 millicores at most
    And no invariant was violated

    Examples:
      | cancelled |
      | first     |
      | other     |

  Scenario: An organisation that has nothing at an unreached worker goes on
    Guards against organisations that wait for a worker that can hold nothing of theirs.
    Given 4 workers and an owner
    And organisation "a" may use 24000 millicores
    And organisation "b" may use 16000 millicores
    When "a" submits "first" of 8 tasks of 3000 millicores and 20 seconds
    And 1 seconds pass in the simulation
    And a worker that runs "first" is partitioned
    And another owner takes over after the former one has ended
    And "b" submits "second" of 4 tasks of 4000 millicores and 1 seconds
    And 3 seconds pass in the simulation
    Then "second" is completed

  Scenario: Work that no owner has started at an unreached worker costs no room for long
    Guards against an organisation that waits for the longest lease, since it had work waiting before
    the takeover.
    Given 4 workers and an owner
    And organisation "a" may use 12000 millicores
    When "a" submits "first" of 40 tasks of 3000 millicores and 1 seconds
    And 1 seconds pass in the simulation
    And an idle worker is partitioned
    And another owner takes over after the former one has ended
    And "a" submits "second" of 4 tasks of 3000 millicores and 1 seconds
    And 3.4 seconds pass in the simulation
    Then "second" is completed
    And "a" has used 12000 millicores at most

  Scenario: A limit is lowered under running work and raised again
    Guards against running work that is stopped, and against starts above the lowered limit.
    Given 4 workers and an owner
    And organisation "a" may use 16000 millicores
    When "a" submits "long" of 8 tasks of 2000 millicores and 4 seconds
    And 0.5 seconds pass in the simulation
    And the limit of "a" changes to 4000 millicores
    And "a" submits "next" of 12 tasks of 2000 millicores and 2 seconds
    And 1 seconds pass in the simulation
    Then "a" uses 16000 millicores
    And no run was stopped
    When 7 seconds pass in the simulation
    Then "a" uses 4000 millicores
    When the limit of "a" changes to 16000 millicores
    And 0.3 seconds pass in the simulation
    Then "a" uses 16000 millicores
    And no invariant was violated

  Scenario: A claim ends when the limit is lowered below it
    Guards against an organisation whose work never starts again, as room is kept for a step that may
    not run.
    Given 4 workers and an owner
    And organisation "a" may use 12000 millicores
    When "a" submits "long" of 4 tasks of 2000 millicores and 6 seconds
    And 0.5 seconds pass in the simulation
    And "a" submits "large", a gang of 4 tasks of 2500 millicores
    And 3 seconds pass in the simulation
    And the limit of "a" changes to 8000 millicores
    And "a" submits "small" of 1 tasks of 1000 millicores and 1 seconds
    And 6 seconds pass in the simulation
    Then "small" is completed
    And "large" remains queued

  Scenario: A start without an answer isn't sent again above a lowered limit
    Guards against starts above the limit long after it has changed.
    Given 4 workers and an owner
    And organisation "a" may use 16000 millicores
    When all commands are lost
    And "a" submits "first" of 8 tasks of 2000 millicores and 30 seconds
    And 0.3 seconds pass in the simulation
    And the limit of "a" changes to 4000 millicores
    And commands are no longer lost
    And 2.5 seconds pass in the simulation
    Then "a" uses 4000 millicores
    And no invariant was violated

  Scenario: A planned start is dropped when the limit is lowered
    Guards against the start of a suspect above the limit of its organisation.
    Given 4 workers and an owner
    And organisation "a" may use 16000 millicores
    When "a" submits "long" of 2 tasks of 2000 millicores and 30 seconds
    And 0.5 seconds pass in the simulation
    And "a" submits "suspect" of 1 tasks of 2000 millicores and 1 seconds
    And task 0 of "suspect" has crashed a worker and its next start is planned
    And the limit of "a" changes to 4000 millicores
    And 2 seconds pass in the simulation
    Then "suspect" has not started

  Scenario: A step beyond the limit keeps no other from a claim
    Guards against a gang that waits behind small tasks for ever beside one that may not run.
    Given 4 workers and an owner
    And organisation "a" may use 8000 millicores
    When "a" submits "large", a gang of 4 tasks of 2500 millicores
    And "a" submits 10 tasks of 2000 millicores a second for 20 seconds
    And 2 seconds pass in the simulation
    And "a" submits "gang", a gang of 4 tasks of 2000 millicores
    And 8 seconds pass in the simulation
    Then "gang" has started
    And "large" remains queued

  Scenario: Work of organisations waits until an owner knows their limits
    Guards against an owner that starts any amount before it has read the configuration.
    Given 4 workers and an owner
    When "a" submits "early" of 8 tasks of 2000 millicores and 1 seconds
    And 2 seconds pass in the simulation
    Then "early" remains queued
    When the limit of "a" changes to 4000 millicores
    And 9 seconds pass in the simulation
    Then "early" is completed
    And "a" has used 4000 millicores at most

  Scenario: Work of an organisation waits while its entry can't be read
    Guards against an organisation without a limit at an instance that couldn't read its entry.
    Given 4 workers and an owner
    When only the entry of "b" can be read
    And "a" submits "first" of 8 tasks of 2000 millicores and 1 seconds
    And "b" submits "other" of 2 tasks of 2000 millicores and 1 seconds
    And 3 seconds pass in the simulation
    Then "first" remains queued
    And "other" is completed
    When the limit of "a" changes to 4000 millicores
    And 9 seconds pass in the simulation
    Then "first" is completed
    And "a" has used 4000 millicores at most

  Scenario Outline: An organisation that sends 7.5 times its usual costs the others nothing
    Guards against a crowd of one organisation that makes the work of all others late: with a second
    of work and an objective of two, a submission may wait for one second.
    Given 4 workers and an owner
    And 4 organisations that may send 2 submissions a second <shares>
    When each of them sends 2 submissions of 3 tasks a second, and the first 7.5 times as many for 6 seconds with priority <priority>
    And 60 seconds pass in the simulation
    Then every submission is completed
    And <long> of the others' submissions wait for longer than 1 second

    Examples:
      | shares                 | priority | long          |
      | with their weights     | 1        | none          |
      | with their weights     | 0        | none          |
      | without regard to them | 1        | more than 10% |
      | without regard to them | 0        | more than 10% |

  Scenario: Organisations share full workers by their weights
    Guards against an organisation that takes all room since it has sent more, or earlier.
    Given 4 workers and an owner
    And organisations "a" and "b" with weights of 5 and 15
    When "a" submits 60 tasks of 2000 millicores a second for 20 seconds
    And "b" submits 60 tasks of 2000 millicores a second for 20 seconds
    And 5 seconds pass in the simulation
    Then over 10 seconds, "b" uses 2.4 to 3.6 times as much as "a"
    And no invariant was violated

  Scenario: A limit that holds work is logged when that begins and ends
    Guards against work that waits without a reason that an operator can see, and against a log line
    for each change.
    Given 4 workers and an owner
    And organisation "a" may use 4000 millicores
    When "a" submits "wide" of 30 tasks of 2000 millicores and 1 seconds
    And "a" submits "gang", a gang of 2 tasks of 2000 millicores
    And 20 seconds pass in the simulation
    Then there are 1 to 5 lines "organisation-limited" and 1 lines "organisation-released" of "a"
    And every submission is completed
    And the metrics show that no task of "a" is held any longer

  Scenario: A step that its limit holds is logged with that reason
    Guards against a step that waits beside free workers for no reason that an operator can see.
    Given 4 workers and an owner
    And organisation "a" may use 4000 millicores
    When "a" submits "long" of 2 tasks of 2000 millicores and 30 seconds
    And 1 seconds pass in the simulation
    And "a" submits "held" of 1 tasks of 2000 millicores and 1 seconds
    And 5 seconds pass in the simulation
    Then there are 1 lines "step-waits", with "organisation-limit" for 4 workers

  Scenario: Random faults and changes of owner never bring an organisation above its limit
    Guards against any order of events that starts too much, and against an account that differs from
    a count of all runs.
    When the random simulations 1 to 24 with organisations are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation

  Scenario Outline: Submissions beyond the rate of an organisation are excess
    Guards against work that is owed and goes behind that of others, whatever the order of reading.
    Then with a weight of <weight>, of submissions accepted at <accepted>, those at <owed> are owed

    Examples:
      | weight | accepted             | owed          |
      | 2      | 0 0.1 0.2 0.95 1.05 1.15 | 0 0.1 0.95 1.05 |
      | 2      | 0 0.5 0.98 1.5 1.97 2.5 | 0 0.5 0.98 1.5 1.97 2.5 |
      | 1.5    | 0 0.1 0.2 1.25 1.35  | 0 0.1 1.25 1.35 |
      | 0.5    | 0 1.7 1.9 3.5 3.8    | 0 1.9 3.8     |
      | 0      | 0 0.1 50             | 0             |
      | 2      | 0.9 1.0 0.1 0        | 0.9 1.0 0.1 0 |

  Scenario Outline: A submission beyond the limit of its organisation is answered by what is known
    Guards against a final refusal by an outdated limit, and of a submission that is stored.
    Then with <known> limits, one beyond them that <stored> stored is answered <status>

    Examples:
      | known    | stored | status |
      | current  | isn't  | 400    |
      | current  | may be | 200    |
      | outdated | isn't  | 503    |
      | outdated | may be | 200    |

  Scenario Outline: A submission that its organisation may never run is refused with the reason
    Guards against work that is accepted and can only wait.
    Then a <kind> of <count> tasks of <millicores> millicores under a limit of <limit> is <result>

    Examples:
      | kind | count | millicores | limit | result   |
      | gang | 4     | 2000       | 8000  | accepted |
      | gang | 5     | 2000       | 8000  | refused  |
      | step | 500   | 2000       | 8000  | accepted |
      | step | 1     | 9000       | 8000  | refused  |
      | gang | 500   | 9000       | 0     | accepted |
