Feature: The program on the users' platform
  Real processes serve queues through the platform's protocol, with stand-ins for its store,
  workers and advisory service. The stand-in store has three modes: up, busy (it answers every
  request with 503) and silent (it answers none).

  Scenario: A submission is stored by one instance and visible through another
    Guards against state that only the accepting instance knows.
    Given 2 entry instances and 3 queue workers
    When submission "00000000000000a1" of 4 tasks is sent to instance 0
    Then it is answered with 200
    And "00000000000000a1" becomes "completed" at instance 1 within 5 seconds
    And every task was started once
    And the stand-ins saw no violation

  Scenario: A submission that is sent again runs once
    Guards against a second run when a caller repeats a submission at another instance.
    Given 2 entry instances and 3 queue workers
    When submission "00000000000000a2" of 2 tasks is sent to instance 0
    And submission "00000000000000a2" of 2 tasks is sent to instance 1
    Then it is answered with 200
    And "00000000000000a2" becomes "completed" at instance 0 within 5 seconds
    And every task was started once

  Scenario: Unknown queues and submissions
    Guards against states that are returned for submissions that no caller has sent.
    Given 2 entry instances and 3 queue workers
    Then a GET of "/nowhere/00000000000000a3" is answered with 404
    And a GET of "/jobs/00000000000000a3" is answered with 410
    And a DELETE of "/jobs/00000000000000a3" is answered with 410

  Scenario: A new version of the configuration is active within two seconds
    Guards against instances that keep an old configuration. A known queue answers 410 for an unknown
    submission, an unknown queue 404.
    Given 2 entry instances and 3 queue workers
    When version 2 of the configuration adds "/more/"
    And 2.0 seconds of real time pass
    Then a GET of "/more/00000000000000a4" is answered with 410

  Scenario: A cancelled submission stops
    Guards against runs that continue after the cancellation was acknowledged.
    Given 2 entry instances and 3 queue workers
    When submission "00000000000000a5" of 2 long tasks is sent to instance 0
    And 1.0 seconds of real time pass
    And "00000000000000a5" is cancelled at instance 1
    Then it is answered with 200
    And no task is running 2 seconds later
    And "00000000000000a5" becomes "cancelled" at instance 0 within 1 seconds

  Scenario: A task that always fails ends its submission after two attempts
    Guards against repeating a task indefinitely that always fails. Only the final state is checked
    here; the limit of two attempts is set in the stand-in's queue configuration (maxAttempts).
    Given 2 entry instances and 3 queue workers
    When submission "00000000000000a6" always fails
    And submission "00000000000000a6" of 1 tasks is sent to instance 0
    Then "00000000000000a6" becomes "failed" at instance 1 within 5 seconds

  Scenario: The owner is killed while work runs
    Guards against work that is lost or runs twice when another instance takes over.
    Given 3 entry instances and 3 queue workers
    When 30 submissions are sent while the owner is killed
    Then all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation

  Scenario: A fenced owner sends no more commands
    Guards against background greenlets of an owner that continue after it has stepped down.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And the owner is paused for 4.0 seconds, after which the store doesn't answer it
    And 1.0 seconds of real time pass
    Then no command of the former owner reaches a worker within 2.0 seconds

  Scenario Outline: An owner that alone has lost the store hands over
    Guards against ends of tasks that can't be stored, and callers that wait for them, until the
    missing heartbeat shows that the owner is cut off.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And the store's mode towards the owner becomes <mode>
    Then another instance is the owner within 1.6 seconds
    And the stand-ins see no command of the former owner after one of the next

    Examples:
      | mode   |
      | silent |
      | busy   |

  Scenario Outline: An owner keeps the ownership in an outage of the whole store
    Guards against an owner that gives up placement, which needs no store, when no instance can
    take over.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And submission "00000000000000f1" of 2 tasks is sent to instance 0
    And the store's mode is <mode>
    And 4.0 seconds of real time pass
    And the store's mode is up
    And 1.5 seconds of real time pass
    Then the ownership has not changed
    And no process has logged "owner-isolated"
    And "00000000000000f1" becomes "completed" at instance 1 within 3 seconds

    Examples:
      | mode   |
      | silent |
      | busy   |

  Scenario: A process that is stopped during an outage of the store ends in its grace period
    Guards against requests that are cut off by SIGKILL, since each farewell to the store waits for
    its time-out.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And the store's mode is silent
    And the owner receives SIGTERM while 4 submissions are sent
    Then the stopped process ends by itself within 6 seconds

  Scenario: The store rejects writes
    Guards against responses that confirm a submission which is not stored, and against late
    refusals.
    Given 2 entry instances and 3 queue workers
    When the store's mode is busy
    And submission "00000000000000a7" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 1.0 seconds
    When the store's mode is up
    And 1.0 seconds of real time pass
    And submission "00000000000000a7" of 1 tasks is sent to instance 0
    Then it is answered with 200
    And "00000000000000a7" becomes "completed" at instance 1 within 5 seconds

  Scenario: Refusals in an outage don't wait for an unresponsive peer
    Guards against callers that are refused late, or give up before, because each request asks peers
    that don't answer.
    Given 3 entry instances and 3 queue workers
    When 1.0 seconds of real time pass
    And the store's mode is busy
    And an instance other than the owner and instance 0 is paused
    And 2 submissions are sent to instance 0
    And submission "00000000000000b5" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 0.3 seconds

  Scenario: A slow store still accepts a burst
    Guards against submissions that wait for each other in one part of the store: with transactions
    of 0.7 s, one part handles 1.4 a second and rejects the rest.
    Given 4 entry instances and 3 queue workers
    When store transactions take 0.7 seconds
    And 50 submissions are sent
    Then at least 48 submissions were accepted
    When store transactions take 0.0 seconds
    Then all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation

  Scenario: An instance that the store doesn't answer forwards submissions
    Guards against requests that wait until their deadline at an instance which can't reach the
    store.
    Given 3 entry instances and 3 queue workers
    When the store stops answering an instance that is not the owner
    And a submission of 2 tasks is sent to that instance
    Then it is answered with 200
    And it took at most 2.5 seconds
    When 3.0 seconds of real time pass
    And a submission of 2 tasks is sent to that instance
    Then it is answered with 200
    And it took at most 0.5 seconds
    And that instance is not ready
    And all accepted submissions become "completed" within 20 seconds

  Scenario: The first unanswered calls show that the store is unavailable
    Guards against callers that each wait until their deadline while the store gives no answer.
    Given 2 entry instances and 3 queue workers
    When the store's mode is silent
    And 6 submissions are sent
    And 1.2 seconds of real time pass
    And submission "00000000000000b1" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 0.5 seconds

  Scenario: A write that the store doesn't answer gets an early response
    Guards against requests that wait until their deadline, instead of getting 504 before it,
    although the store gives no answer.
    Given 3 entry instances and 3 queue workers
    When 1.0 seconds of real time pass
    And the store's mode is silent
    And submission "00000000000000b4" of 1 tasks is sent to instance 0
    Then it is answered with 504 and a Retry-After within 2.2 seconds
    When the store's mode is up
    And 1.0 seconds of real time pass
    And submission "00000000000000b4" of 1 tasks is sent to instance 1
    Then it is answered with 200
    And "00000000000000b4" becomes "completed" at instance 2 within 5 seconds
    And every task was started once

  Scenario: The store is used again within a second after an outage
    Guards against calls sent during an outage that block those after it until their time-out.
    Given 2 entry instances and 3 queue workers
    When the store's mode is silent
    And 6 submissions are sent
    And 1.5 seconds of real time pass
    And the store's mode is up
    And 0.9 seconds of real time pass
    And submission "00000000000000b2" of 1 tasks is sent to instance 0
    Then it is answered with 200
    And it took at most 0.5 seconds
    And "00000000000000b2" becomes "completed" at instance 1 within 3 seconds

  Scenario: Work that finishes in a store outage is not shown as completed before that is stored
    Guards against a task that runs again after it was shown as completed, because its worker leaves
    while all instances are lost, before the store is available again.
    Given 2 entry instances and 3 queue workers
    When 1.0 seconds of real time pass
    And submission "00000000000000b3" of 2 tasks is sent to instance 0
    And 0.1 seconds of real time pass
    And the store's mode is silent
    And 1.5 seconds of real time pass
    Then "00000000000000b3" becomes "running" at instance 1 within 1 seconds
    When the store's mode is up
    Then "00000000000000b3" becomes "completed" at instance 0 within 4 seconds
    And every task was started once

  Scenario: An instance started during a store outage becomes ready soon after the outage
    Guards against a start that is blocked by its first unanswered call to the store.
    Given 2 entry instances and 3 queue workers
    When 1.0 seconds of real time pass
    And the store's mode is silent
    And the instance that is not the owner is killed and started again
    And 1.2 seconds of real time pass
    And the store's mode is up
    Then that instance is ready within 1.3 seconds

  Scenario: Answers of the store are lost
    Guards against work that is lost or runs twice when the answer to a write does not arrive.
    Given 2 entry instances and 3 queue workers
    When a third of the store's answers are lost
    And 20 submissions are sent
    Then all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation

  Scenario: The store truncates its change history
    Guards against watches that stop because the change feed no longer covers their revision.
    Given 2 entry instances and 3 queue workers
    When the store truncates its change history
    And version 2 of the configuration adds "/more/"
    And 2.0 seconds of real time pass
    Then a GET of "/more/00000000000000a8" is answered with 410

  Scenario: Rows of ended submissions are deleted after their retention
    Guards against a table that grows indefinitely, and which each new owner has to load.
    Given 2 entry instances and 3 queue workers with a state retention of -28 seconds
    When submission "00000000000000c1" of 2 tasks is sent to instance 0
    And "00000000000000c1" completes
    Then within 14 seconds the store has no row of "00000000000000c1"
    When 7.0 seconds of real time pass
    Then a GET of "/jobs/00000000000000c1" is answered with 410

  Scenario: Metrics show what an instance decides
    Guards against counters and histograms that are missing for operators.
    Given 1 entry instances and 2 queue workers
    When submission "00000000000000a9" of 2 tasks is sent to instance 0
    And "00000000000000a9" completes
    Then the metrics of instance 0 include
      | metric                                               |
      | lavenderhook_task_wait_seconds_bucket                |
      | lavenderhook_submission_seconds_count                |
      | lavenderhook_store_seconds_sum                       |
      | lavenderhook_decisions_total{decision="task-placed"} |
      | lavenderhook_is_owner 1.0                            |
      | lavenderhook_owner_proof_age_seconds 0.              |

  Scenario: A log reader that does not read blocks nothing
    Guards against decisions that wait because the pipe of the log is full.
    Given 1 entry instances whose log is not read and 2 queue workers
    When 60 submissions are sent
    Then all accepted submissions become "completed" within 20 seconds

  Scenario: A planned stop closes keep-alive connections before the process ends
    Guards against requests that a stopping process reads on a keep-alive connection and doesn't
    answer.
    Given 2 entry instances and 3 queue workers
    When callers send on keep-alive connections every 20 ms while the owner receives SIGTERM
    Then every fully sent request was answered
    And the stopped process ends by itself within 6 seconds

  Scenario: A planned stop answers all requests read and ends within its grace period
    Guards against requests that a stopping process has read but doesn't answer, also against
    processes that have to be killed.
    Given 2 entry instances and 3 queue workers
    When the owner receives SIGTERM while 20 submissions are sent
    Then no request that was sent failed without an answer
    And the stopped process ends by itself within 6 seconds
    And all accepted submissions become "completed" within 20 seconds
    And the stand-ins saw no violation
