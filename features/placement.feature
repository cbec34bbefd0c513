Feature: Submitting, placing and cancelling jobs
  Decisions are durable before they have any effect, and answers say what is certain.

  Background:
    Given a cell with 2 entry instances and 3 workers of 4 processors
    And a shard owner

  Scenario: A job whose answer was lost is submitted again (guards against running it twice)
    When job "certificates" with 4 tasks is submitted
    And job "certificates" with 4 tasks is submitted again at once
    And 3 seconds pass
    And job "certificates" with 4 tasks is submitted again at once
    Then the submissions are answered as new, repeated, repeated
    And 4 tasks of "certificates" run
    And 4 starts were carried out in all

  Scenario: A job id is used for other content (guards against losing the second job silently)
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And job "certificates" with 5 tasks is submitted
    Then the last operation is refused with "duplicate-name"

  Scenario Outline: A job that can never run is refused (guards against a queue that never drains)
    When job "quote" of kind <kind> with <count> tasks of <processors> processors is submitted
    Then the last operation is refused with "<error>"

    Examples:
      | kind    | count | processors | error            |
      | batch   | 1     | 5          | impossible-job   |
      | batch   | 0     | 1          | invalid-argument |
      | batch   | 1     | 0          | not-found        |
      | service | 1     | 1          | invalid-argument |

  Scenario: A team without quota submits (guards against work that nobody may run)
    Given the configuration
      """
      [{"kind": "quota", "name": "none", "team": "printing", "max_share": 0}]
      """
    When job "certificates" with 1 tasks is submitted
    Then the last operation is refused with "quota-exceeded"

  Scenario: A submission names a declared template (guards against templates that drift)
    Given the configuration
      """
      [{"kind": "workload", "name": "proofs", "type": "batch", "count": 3,
        "resources": {"processors": 500, "memory_mb": 64}}]
      """
    When job "from-template" of kind batch with 0 tasks of 0 processors is submitted
    And 2 seconds pass
    Then 3 tasks of "from-template" run

  Scenario: An operation reaches another instance (guards against two instances deciding)
    When job "certificates" with 1 tasks is submitted to the other instance
    Then the last operation is forwarded to the owner

  Scenario: A job is cancelled before its tasks start (guards against a false "not run")
    When job "large" with 20 tasks is submitted
    And 2 seconds pass
    And job "large" is cancelled
    And 3 seconds pass
    Then the cancellation reports 8 not run, 12 stopping and 0 ended
    And 0 tasks of "large" run
    And 12 starts were carried out in all

  Scenario: A job is cancelled while its placement is being committed (guards against a late start)
    When job "certificates" with 2 tasks is submitted
    And the placement of "certificates" is in flight
    And job "certificates" is cancelled
    And 3 seconds pass
    Then the cancellation reports 2 not run, 0 stopping and 0 ended
    And 0 starts were carried out in all

  Scenario: A task fails each time (guards against endless restarts)
    Given every worker fails what it starts
    When job "certificates" with 1 tasks is submitted
    And 20 seconds pass
    Then job "certificates" is failed
    And 3 starts were carried out in all

  Scenario: Another team asks for a job (guards against leaking work between teams)
    When job "certificates" with 1 tasks is submitted
    And 2 seconds pass
    Then team "printing" sees job "certificates" as running
    And team "boreholes" sees no job "certificates"
    And the views of operators are refused to team "printing"

  Scenario: The log is covered by a snapshot (guards against a takeover that reads a long log)
    Given a snapshot every 5 log rows
    When 8 jobs of 1 task that run 3 seconds are submitted one by one
    And 5 seconds pass
    And the owner dies
    And another instance owns the shard
    Then at most 15 log rows are left
    And the new owner's state is what all committed records make
    And 5 seconds pass
    And every submitted job is done
