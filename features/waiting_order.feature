Feature: Which work waits when there is too little room
  What waits is what costs callers least, by its priority, its objective and the work that it needs.

  Scenario Outline: More results are of use under a load beyond all capacity than by limits alone
    Guards against a backlog of which more is begun than can end while it is of use.
    When <share> times the load that the workers can do is played by limits, with seeds 1 to 3
    And <share> times the load that the workers can do is played by losses, with seeds 1 to 3
    Then more results are of use by losses, and no fewer are in time

    Examples:
      | share |
      | 1.5   |
      | 2     |

  Scenario Outline: The order of two waiting submissions
    Guards against <failure>.
    Given a submission with priority <p1> of age <age1> with <done1> of 10 tasks done
    And a submission with priority <p2> of age <age2> with <done2> of 10 tasks done
    Then the first submission goes before the second one

    Examples: tasks take 2 s and objectives are 5 s
      | p1 | age1 | done1 | p2 | age2 | done2 | failure                                             |
      | 0  | 0    | 0     | 1  | 2.9  | 0     | an urgent submission behind one that is nearly late |
      | 0  | 9    | 0     | 1  | 0    | 0     | a late urgent submission behind a less urgent one   |
      | 1  | 0    | 0     | 0  | 20   | 0     | room for a result that is of no use any more        |
      | 1  | 0    | 0     | 1  | 4    | 0     | room for a result that can't be in time any more    |
      | 1  | 0    | 9     | 1  | 2    | 0     | work that is late although it has nearly ended      |
      | 1  | 2    | 0     | 1  | 0    | 0     | the newer one of two like submissions first         |
      | 1  | 0    | 5     | 1  | 0    | 0     | more submissions begun than can be ended            |

  Scenario: A step before a service is in time
    Guards against a step that goes last since what comes after it never ends.
    Given a submission of a step of 2 seconds and a service after it
    And a submission with priority 0 of age 9 with 0 of 10 tasks done
    Then the first submission goes before the second one

  Scenario Outline: A kind is judged by its runs, and few runs change little
    Guards against work that seems to be in time and never is, and an order that follows an outlier.
    Given <runs> runs that took <factor> times as long as estimated
    Then tasks of that queue are expected to take <least> to <most> times as long as estimated
    And tasks of another queue are expected to take as long as estimated

    Examples:
      | runs | factor | least | most |
      | 40   | 3      | 2.5   | 3    |
      | 1    | 8      | 1     | 1.5  |

  Scenario: Nothing starves behind urgent work that fills all workers
    Guards against work that never runs under a load that lasts, also beside what fits no worker.
    Given 3 workers and an owner
    When urgent work keeps the workers full for 90 seconds
    And a submission "impossible" of 3 tasks of 90000 millicores and 1 seconds arrives
    And a submission "low" with priority 5 arrives
    And 29 seconds pass in the simulation
    Then "low" has not started
    When 31 seconds pass in the simulation
    Then "low" is completed
    And no invariant was violated

  Scenario: The order of many ready steps takes time in proportion to their number
    Guards against a submission of a thousand steps that occupies one owner after the other.
    Then ranking 1000 independent steps asks for 1000 estimates

  Scenario: An error in the rank of one submission stops no other
    Guards against a submission that ends one owner after the other.
    Given 1 workers and an owner
    When the rank of "bad" fails with an error
    And a submission "bad" of 1 tasks of 1000 millicores and 1 seconds arrives
    And a submission "good" of 1 tasks of 1000 millicores and 1 seconds arrives
    And 3 seconds pass in the simulation
    Then "good" is completed
    And "bad" remains queued
    And the lines "placement-failed" name "bad" alone
