Feature: Writes to a store that is slow and not down
  The store carries out the transactions of one part one after another. Repeated writes and needless
  confirmations of the ownership then fill its parts until it turns submissions away.

  Scenario Outline: A write to a slow store is not repeated by peers at once
    Guards against three transactions for each submission while one part takes two a second.
    Then with calls that take <latency> seconds a write is forwarded after <hedge> seconds
    And the store counts as unavailable after <outage> seconds without a response
    And an owner has at most <idle> confirmations in flight, and <committing> beside a commit

    Examples:
      | latency | hedge | outage | idle | committing |
      | 0.004   | 0.2   | 1.1    | 4    | 4          |
      | 0.05    | 0.4   | 1.1    | 4    | 4          |
      | 0.3     | 0.8   | 1.1    | 4    | 0          |
      | 1.0     | 2.5   | 2.5    | 1    | 0          |

  Scenario: One instance gathers the rows of a part
    Guards against one transaction for each instance and part, and against a lost instance that
    changes who gathers the rows of the parts of others.
    Given the addresses of 30 instances
    Then all of them choose the same instance for each part, in any order of their lists
    And without one of them only the parts that it gathered change

  Scenario Outline: A row that the store turns away for a moment is written again
    Guards against callers that are refused, or told that the outcome is unknown, since a part of
    the store was full for a moment.
    Given a store that turns away the next <refusals> transactions as it is busy
    When a submission is stored with <seconds> seconds left
    Then the result is "<result>" after <writes> transactions

    Examples:
      | refusals | seconds | result     | writes |
      | 2        | 2.0     | stored     | 3      |
      | 9        | 0.4     | not-stored | 3      |

  Scenario: A row of unknown outcome is not reported as refused
    Guards against a refusal of a submission that the store has carried out.
    Given a store that loses the response to the next transaction and turns away all later ones
    When a submission is stored with 0.4 seconds left
    Then the result is "unknown" after 3 transactions

  Scenario: Final states come before progress in a commit to a slow store
    Guards against callers whose final state waits behind the progress of all other submissions.
    Given 100 submissions with new progress, of which the last 10 are to end
    Then a commit to a slow store begins with these 10 and leaves 55 for later
    And a commit to a quick store has all 100

  Scenario: Progress is stored, and finished runs are acknowledged, beside many final states
    Guards against workers that report all finished runs again and again, and suspects that never
    start, while a slow store is always behind.
    Given 200 submissions with new progress, of which the last 100 are to end
    When 30 commits to a slow store are made, and 50 more submissions are to end after each
    Then all of the first 200 are stored
    And finished runs were acknowledged at least twice

  Scenario Outline: A repeated call isn't refused while an earlier write may take effect
    Guards against a caller that is told that a submission never runs while its first attempt is
    still being stored.
    Given an instance that has begun <begun> writes of a submission
    When one of them ends as "not-stored"
    Then the caller is told "<told>"

    Examples:
      | begun | told       |
      | 1     | not-stored |
      | 2     | unknown    |
