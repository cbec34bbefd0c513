Feature: Malformed messages
  Everything that arrives over the network may be malformed: one message of that kind is rejected
  with a typed error and a log line, and changes nothing else.

  Scenario Outline: Arbitrary bytes are rejected with a typed error
    Guards against an unexpected exception that ends the loop which reads the message.
    When 300 arbitrary and damaged messages are read as <message>
    Then each is read or rejected with a typed error

    Examples:
      | message             |
      | a worker's report   |
      | a refusal           |
      | advice              |
      | a worker's entry    |
      | a configuration     |
      | a stored submission |
      | stored progress     |
      | a row of the starts |
      | a stored outcome    |
      | an owner row        |
      | a member row        |
      | a heartbeat row     |
      | a roster            |
      | a peer's notice     |
      | rows of the store   |
      | a caller's body     |
      | a settings file     |
      | a listing           |
      | a report of attempts |
      | a page of the table |
      | a claim row         |
      | a peer's heartbeat  |
      | a peer's operation  |
      | an operator's body  |
      | a daemon's settings |
      | a connection file   |
      | a declaration file  |

  Scenario: An odd entry of the platform's list leaves the others listed
    Guards against a list that can't be read at all because of one entry.
    When a list with a worker and 6 odd entries is read
    Then one worker is listed and 6 entries are reported

  Scenario Outline: A submission that no owner can place is refused when it arrives
    Guards against a stored submission on which one owner after the other fails.
    When a caller submits steps with <field> set to <value>
    Then it is refused with invalid-argument

    Examples:
      | field       | value      |
      | count       | 0          |
      | count       | -1         |
      | count       | 1000000000 |
      | after       | [0]        |
      | after       | [7]        |
      | after       | [-1]       |
      | cpu         | -5         |
      | memMb       | -5         |
      | estimateMs  | -1.0       |
      | repetitions | 1000000000 |

  Scenario: Malformed rows don't keep the others from being read
    Guards against a row of another writer that ends the loop which follows the table: the instance
    would notice neither a new owner nor new submissions.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And malformed rows are written into the tables of the instances
    And 1.0 seconds of real time pass
    And submission "00000000000000d1" of 2 tasks is sent to instance 0
    Then "00000000000000d1" becomes "completed" at instance 1 within 5 seconds
    When 30 submissions are sent while the owner is killed
    Then all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation
    And a process has logged "row-unreadable"
    And a process has logged "worker-unreadable"
    And no process has logged "unexpected error"
    And no process has logged "unhandled exception"

  Scenario: A request with a length of 5000 digits is refused
    Guards against an error that no handler expects, and a connection that ends without an answer.
    Given 1 entry instances and 1 queue workers
    When a caller gives a length of 5000 digits
    Then it reads status 400

  Scenario: Malformed reports of a worker stop neither its runs nor the owner
    Guards against a report that ends the loop which renews a worker's leases, or the owner.
    Given 2 entry instances and 3 queue workers
    When the owner has reached every worker
    And every second report of worker 0 is malformed
    And 10 submissions are sent
    Then all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation
    And a process has logged "report-unreadable"
    And no process has logged "unexpected error"

  Scenario: An owner with an unexpected error is replaced
    Guards against an owner that goes on as such although the loop that places tasks has ended.
    Given a loop that fails twice with an unexpected error
    When it is run until stopped
    Then it was run 3 times and both errors were reported
    Given an owner whose reducer fails on one event
    When the event arrives
    Then the owner steps down and reports the error
    And none of its loops goes on

  Scenario Outline: A submission whose placement fails with an error leaves the others alone
    Guards against one submission that ends owner after owner, and against capacity that is kept for
    runs whose commands were lost with the error.
    Given 3 workers and an owner
    And the placement of "broken" fails with an error <where>
    And 20 submissions of 2 tasks arrive over 5 seconds
    When a submission "broken" of 3 tasks of 9000 millicores and 1 seconds arrives
    And 8 seconds pass in the simulation
    Then all submissions but "broken" are completed
    And the owner is active
    And the placement of "broken" has failed 2 times
    When the placement of "broken" fails no longer
    And 8 seconds pass in the simulation
    Then "broken" is completed
    And no invariant was violated

    Examples:
      | where                      |
      | before its first task      |
      | after two of its tasks     |

  Scenario: The end of a task is not acknowledged while the progress of its submission can't be read
    Guards against a second run of a task that is done: its end is stored nowhere, so that an owner
    that can read the progress starts the task again.
    Given a stored submission with a progress that can't be read
    When an owner learns that a task of the submission has ended
    Then the end is not acknowledged

  Scenario: A submission whose progress can't be read is not started when it is sent again
    Guards against a second run of tasks that are done: the owner leaves the submission alone, but
    not if an instance reports it anew.
    Given a stored submission with a progress that can't be read
    When an owner has loaded the rows
    And an instance reports the submission to the owner
    And 0.5 seconds of real time pass
    Then it starts nothing

  Scenario: The end of a task is not acknowledged if the final state of its submission can't be read
    Guards against an end that is stored nowhere: the row that can't be read is found in the conflict
    of the transaction that was to store it.
    Given a stored submission with a final state that can't be read, and that loading has missed
    When an owner learns that a task of the submission has ended
    Then the end is not acknowledged
    And it starts nothing
