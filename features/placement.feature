Feature: Submitting, placing and cancelling jobs
  Decisions are durable before they take effect, and responses report only what is certain.

  Background:
    Given a simulated cluster with 2 entry instances and 3 workers of 4 processors
    And a shard owner

  Scenario: A repeated submission does not run the job twice
    Guards against duplicate tasks: a client that has lost the response to a submission sends the
    same job again, before or after the first submission has been committed.
    When job "certificates" with 4 tasks is submitted
    And job "certificates" with 4 tasks is submitted again at once
    And 3 seconds pass
    And job "certificates" with 4 tasks is submitted again at once
    Then the submissions are answered as new, repeated, repeated
    And 4 tasks of "certificates" run
    And workers have started 4 attempts in total

  Scenario: A job id that is used for different content is refused
    Guards against losing the second job silently: answered as a repetition of the first job, it
    would be reported as accepted although it never runs.
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And job "certificates" with 5 tasks is submitted
    Then the last operation is refused with "duplicate-name"

  Scenario Outline: A job that can never run is refused
    Guards against a queue that never drains because a job needs more than any worker has, or is
    invalid.
    When job "quote" of kind <kind> with <count> tasks of <processors> processors is submitted
    Then the last operation is refused with "<error>"

    Examples:
      | kind    | count | processors | error            |
      | batch   | 1     | 5          | impossible-job   |
      | batch   | 0     | 1          | invalid-argument |
      | batch   | 1     | 0          | not-found        |
      | service | 1     | 1          | invalid-argument |

  Scenario: A submission of a team with a quota of zero is refused
    Guards against jobs that wait indefinitely because their team may use no resources.
    Given the configuration
      """
      [{"kind": "quota", "name": "none", "team": "printing", "max_share": 0}]
      """
    When job "certificates" with 1 tasks is submitted
    Then the last operation is refused with "quota-exceeded"

  Scenario: A submission takes its values from a declared workload
    Guards against a job that differs from the declared workload that it names.
    Given the configuration
      """
      [{"kind": "workload", "name": "proofs", "type": "batch", "count": 3,
        "resources": {"processors": 500, "memory_mb": 64}}]
      """
    When job "from-template" of kind batch with 0 tasks of 0 processors is submitted
    And 2 seconds pass
    Then 3 tasks of "from-template" run

  Scenario: An operation at another instance is forwarded to the owner
    Guards against two instances that decide on the same shard.
    When job "certificates" with 1 tasks is submitted to the other instance
    Then the last operation is forwarded to the owner

  Scenario: A cancellation reports which tasks had not run
    Guards against reporting a task as not run that had started: part of the job runs and the rest
    is still waiting at the cancellation.
    When job "large" with 20 tasks is submitted
    And 2 seconds pass
    And job "large" is cancelled
    And 3 seconds pass
    Then the cancellation reports 8 not run, 12 stopping and 0 ended
    And 0 tasks of "large" run
    And workers have started 12 attempts in total

  Scenario: A job that is cancelled during the commit of its placement does not start
    Guards against a start after the cancellation was answered: the commit of the placement is in
    flight at the cancellation and succeeds after it.
    When job "certificates" with 2 tasks is submitted
    And the placement of "certificates" is in flight
    And job "certificates" is cancelled
    And 3 seconds pass
    Then the cancellation reports 2 not run, 0 stopping and 0 ended
    And workers have started 0 attempts in total

  Scenario: A job whose task fails repeatedly fails
    Guards against endless restarts of a task that fails in each attempt.
    Given every task that a worker starts fails
    When job "certificates" with 1 tasks is submitted
    And 20 seconds pass
    Then job "certificates" is failed
    And workers have started 3 attempts in total

  Scenario: A team sees only its own jobs
    Guards against disclosing the jobs of one team, or the views of operators, to another team.
    When job "certificates" with 1 tasks is submitted
    And 2 seconds pass
    Then team "printing" sees job "certificates" as running
    And team "boreholes" sees no job "certificates"
    And the views of operators are refused to team "printing"

  Scenario: Log rows that a snapshot covers are deleted
    Guards against a takeover that reads a long log, and against a snapshot that omits committed
    records.
    Given a snapshot every 5 log rows
    When 8 jobs of 1 task that run 3 seconds are submitted one by one
    And 5 seconds pass
    And the owner process is killed
    And another instance owns the shard
    Then at most 15 log rows are left
    And the new owner's state equals the state rebuilt from all committed records
    And 5 seconds pass
    And every submitted job is done
