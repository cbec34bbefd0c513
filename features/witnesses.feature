Feature: Workers as witnesses of the ownership
  An owner without the store acts only while a majority of its workers answers it. The same majority
  shows a new owner that earlier ones have ended.

  Scenario Outline: An owner without the store needs a majority of its workers
    Guards against an owner that goes on with some workers, while another one has been reached by the
    others and takes it for ended.
    Given an owner whose stored roster has the open workers <open> and the closed workers <closed>
    When <held> answer it, and the store confirms it
    And <answering> answer it <seconds> seconds before the present
    Then its workers <confirm> it

    Examples:
      | open    | closed | held    | answering | seconds | confirm       |
      | a b c   | none   | a b c   | a b       | 2.4     | confirm       |
      | a b c   | none   | a b c   | a b       | 2.6     | don't confirm |
      | a b c   | none   | a b c   | a         | 0.1     | don't confirm |
      | a b c d | none   | a b c d | a b       | 0.1     | don't confirm |
      | a       | none   | a       | a         | 0.1     | confirm       |
      | a b     | none   | a b     | a         | 0.1     | don't confirm |
      | a       | b c    | a b c   | a         | 0.1     | confirm       |
      | a       | b c    | a b c   | b c       | 0.1     | don't confirm |
      | none    | a b    | a b     | a         | 0.1     | don't confirm |
      | none    | none   | none    | none      | 0.1     | confirm       |

  Scenario: A worker that has restarted since the store confirmed the owner is no witness
    Guards against an answer of an incarnation that knows no token of a later owner, though the one
    before it had been reached by that.
    Given an owner whose stored roster has the open workers a b c and the closed workers none
    When a b c answer it, and the store confirms it
    And b c restart
    And a b c answer it 0.1 seconds before the present
    Then its workers don't confirm it
    When a b c answer it, and the store confirms it
    And a b c answer it 0.1 seconds before the present
    Then its workers confirm it

  Scenario: A worker that the list has shown before the store confirmed the owner is a witness
    Guards against an owner that stops in an outage of the store right after a takeover, though its
    workers have not restarted since.
    Given an owner whose stored roster has the open workers a b c and the closed workers none
    When the list shows a b c, and the store confirms it
    And b c answer it 0.1 seconds before the present
    Then its workers confirm it
    When b c restart
    And the list shows a b c
    And b c answer it 0.1 seconds before the present
    Then its workers don't confirm it

  Scenario: An owner needs a majority of each roster that the store may hold
    Guards against a next owner that reads a roster whose storing this one doesn't know of, and asks
    other workers.
    Given an owner whose stored roster has the open workers a and the closed workers none
    When a answer it, and the store confirms it
    And it requests a roster with the open workers b c
    And a answer it 0.1 seconds before the present
    Then its workers don't confirm it
    When a b c answer it, and the store confirms it
    And b c answer it 0.1 seconds before the present
    Then its workers don't confirm it
    When the roster with the open workers b c is stored
    Then its workers confirm it

  Scenario Outline: A majority of each roster ends the wait for earlier owners
    Guards against a wait that is too short for an owner before the predecessor, which had other
    workers, and for the last answers that an earlier owner got.
    Given a new owner that reads a roster with the open workers <open>, and <earlier> of earlier owners
    When <answering> answer it
    Then <seconds> seconds later its workers <show> the end of all earlier owners

    Examples:
      | open  | earlier | answering | seconds | show       |
      | a b c | none    | a b       | 2.6     | show       |
      | a b c | none    | a b       | 2.5     | don't show |
      | a b c | none    | a         | 9.0     | don't show |
      | a b c | d e     | a b       | 9.0     | don't show |
      | a b c | d e     | a b d e   | 2.6     | show       |

  Scenario: A roster names the witnesses of all owners that may still act
    Guards against a third owner in a row that doesn't ask the workers of the first.
    Given a new owner that reads a roster with the open workers a b, and c of earlier owners
    Then its roster with the open workers a b names c of earlier owners
    And its roster with the open workers d names a b, c of earlier owners
    And a roster that names c of earlier owners is the same once it is stored and read

  Scenario: Owners that only their workers confirm or end violate no invariant
    Guards against second runs of a task across owners that don't list each other, beside cuts, lost
    owners and workers, restarts, rosters without an answer and outages of the store.
    When the random simulations 1 to 20 of witnesses are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation

  Scenario Outline: Simulations of witnesses detect deliberate faults
    Guards against checks that would pass whatever the workers show.
    When random simulations of witnesses run until one violates an invariant, with the fault: <fault>
    Then one of the first <count> simulations violated an invariant

    Examples:
      | fault                                                      | count |
      | any worker's answer counts as a majority                   | 20    |
      | earlier owners count as ended once a majority has answered | 20    |
      | workers that have restarted since the last proof count     | 20    |

  Scenario Outline: A restarted worker that only an earlier owner reaches starts nothing again
    Guards against an earlier owner that takes a run for lost by a restart after its last proof by the
    store, though a later owner has seen the run's end.
    When the random simulations <seed> to <seed> of witnesses are run
    Then no simulation violated an invariant

    Examples:
      | seed |
      | 22   |
      | 51   |
      | 324  |
      | 651  |
