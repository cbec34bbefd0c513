Feature: Takeovers in a row
  Simulations in virtual time, as in queueing.feature: owners replace each other within the leases of
  workers that some of them don't reach, and peers report submissions again, also ended ones.

  Scenario Outline: Another worker at an outdated address proves nothing about an earlier owner's runs
    Guards against a second run of a task: the list that a new owner reads first is stale, another
    worker has the address in it, and an earlier owner uses the next incarnation elsewhere.
    Given 4 workers and an owner
    When worker "w0" restarts at another address
    And a submission "moved" of 4 tasks of 6000 millicores and 8 seconds arrives
    And 1 seconds pass in the simulation
    And the next list of workers shows the former entry of worker "w0"
    And <takeover>
    And 2 seconds pass in the simulation
    Then "moved" has 4 starts
    When 40 seconds pass in the simulation
    Then "moved" is completed
    And no invariant was violated

    Examples:
      | takeover                                                |
      | another owner takes over after the former one has ended |
      | another owner takes over                                |

  Scenario Outline: The wait for a worker that a new owner can't reach is bounded
    Guards against a submission that waits for a worker for longer than earlier owners' leases last,
    or without a log line that tells when the wait has ended.
    Given 4 workers and an owner
    When a submission "cut" of 4 tasks of 9000 millicores and 10 seconds arrives
    And 1 seconds pass in the simulation
    And worker "w0" is partitioned
    And <takeover>
    And a submission "new" of 1 tasks of 2000 millicores and 1 seconds arrives
    Then the wait for unreachable workers ends <seconds> seconds after the last takeover
    And the log tells that it has ended, and that no submission is blocked
    When 1 seconds pass in the simulation
    Then "new" has started
    When 60 seconds pass in the simulation
    Then "cut" is completed
    And "cut" has 5 starts
    And no invariant was violated

    Examples:
      | takeover                                                       | seconds |
      | another owner takes over after the former one has ended        | 4.9     |
      | another owner takes over                                       | 6.1     |
      | 6 owners take over 1.5 seconds apart                           | 6.1     |
      | another owner takes over, which can't read the roster          | 6.1     |
      | another owner takes over that the former one doesn't know      | 66.7    |
      | another owner takes over that the store confirms after 20 s    | 20.0    |

  Scenario: Takeovers in a row violate no invariant
    Guards against second runs of a task that follow from what a new owner presumes: when a
    submission was stored, when a worker was closed, or that earlier owners have ended.
    When the random simulations 1 to 40 of takeovers in a row are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation

  Scenario Outline: Simulations of takeovers in a row detect deliberate faults
    Guards against checks that would pass whatever a new owner presumed.
    When random simulations of takeovers run until one violates an invariant, with the fault: <fault>
    Then one of the first <count> simulations violated an invariant

    Examples:
      | fault                                                            | count |
      | an unknown revision counts as one after the claim                | 60    |
      | unreached workers count as closed from the beginning             | 60    |
      | an unanswered hold counts as another incarnation                 | 60    |
      | a cancelled submission becomes active when it is reported again  | 60    |
      | earlier owners count as ended while they act                     | 60    |
