Feature: The program on the users' platform
  Real processes serve queues through the platform's protocol, against stand-ins of its store,
  workers and advisory service.

  Scenario: A submission is stored by one instance and seen through another
    Guards against state that only the accepting instance knows.
    Given 2 entry processes and 3 queue workers
    When submission "00000000000000a1" of 4 tasks is sent to instance 0
    Then it is answered with 200
    And "00000000000000a1" becomes "completed" at instance 1 within 5 seconds
    And every task was started once
    And no rule of the queues was broken

  Scenario: A submission that is sent again runs once
    Guards against a second run when a caller repeats a submission at another instance.
    Given 2 entry processes and 3 queue workers
    When submission "00000000000000a2" of 2 tasks is sent to instance 0
    And submission "00000000000000a2" of 2 tasks is sent to instance 1
    Then it is answered with 200
    And "00000000000000a2" becomes "completed" at instance 0 within 5 seconds
    And every task was started once

  Scenario: Unknown queues and submissions
    Guards against a state that is shown for what nobody submitted.
    Given 2 entry processes and 3 queue workers
    Then a GET of "/nowhere/00000000000000a3" is answered with 404
    And a GET of "/jobs/00000000000000a3" is answered with 410
    And a DELETE of "/jobs/00000000000000a3" is answered with 410

  Scenario: A new version of the configuration is in force within two seconds
    Guards against instances that keep an old configuration.
    Given 2 entry processes and 3 queue workers
    When version 2 of the configuration adds "/more/"
    And 2.0 seconds go by
    Then a GET of "/more/00000000000000a4" is answered with 410

  Scenario: A cancelled submission stops
    Guards against work that goes on after its cancelling was acknowledged.
    Given 2 entry processes and 3 queue workers
    When submission "00000000000000a5" of 2 long tasks is sent to instance 0
    And 1.0 seconds go by
    And "00000000000000a5" is cancelled at instance 1
    Then it is answered with 200
    And nothing runs after 2 seconds
    And "00000000000000a5" becomes "cancelled" at instance 0 within 1 seconds

  Scenario: A task that always fails ends its submission after two attempts
    Guards against endless attempts.
    Given 2 entry processes and 3 queue workers
    When submission "00000000000000a6" always fails
    And submission "00000000000000a6" of 1 tasks is sent to instance 0
    Then "00000000000000a6" becomes "failed" at instance 1 within 5 seconds

  Scenario: The owner is killed while work runs
    Guards against lost or doubled work when another instance takes over.
    Given 3 entry processes and 3 queue workers
    When 30 submissions are sent while the owner is killed
    Then all accepted submissions become "completed" within 20 seconds
    And no rule of the queues was broken

  Scenario: An owner that has been shut out sends no more orders
    Guards against loops that go on after the owner has stepped down.
    Given 3 entry processes and 3 queue workers
    When 1.0 seconds go by
    And the store is silent for the owner
    And 5.0 seconds go by
    Then no order of the former owner reaches a worker within 2.0 seconds

  Scenario: The store refuses
    Guards against answers that claim acceptance, and against late refusals.
    Given 2 entry processes and 3 queue workers
    When the store is busy
    And submission "00000000000000a7" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 1.0 seconds
    When the store is up
    And 1.0 seconds go by
    And submission "00000000000000a7" of 1 tasks is sent to instance 0
    Then it is answered with 200
    And "00000000000000a7" becomes "completed" at instance 1 within 5 seconds

  Scenario: Refusals in an outage don't wait for a peer that is lost
    Guards against callers that are refused late, or leave before, since each request asks peers
    that don't answer.
    Given 3 entry processes and 3 queue workers
    When 1.0 seconds go by
    And the store is busy
    And an instance that neither owns nor is instance 0 is paused
    And 2 submissions are sent to instance 0
    And submission "00000000000000b5" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 0.3 seconds

  Scenario: A slow store still accepts a burst
    Guards against submissions that wait for each other in one part of the store: with
    transactions of 0.7 s, one part takes 1.4 a second and rejects the rest.
    Given 4 entry processes and 3 queue workers
    When transactions of the store take 0.7 seconds
    And 50 submissions are sent
    Then at least 48 submissions were accepted
    When transactions of the store take 0.0 seconds
    Then all accepted submissions become "completed" within 20 seconds
    And no rule of the queues was broken

  Scenario: An instance that the store doesn't answer passes submissions on
    Guards against requests that wait until their deadline at an instance that is cut off.
    Given 3 entry processes and 3 queue workers
    When the store is silent for an instance that is not the owner
    And a submission of 2 tasks is sent to that instance
    Then it is answered with 200
    And it took at most 2.5 seconds
    When 3.0 seconds go by
    And a submission of 2 tasks is sent to that instance
    Then it is answered with 200
    And it took at most 0.5 seconds
    And that instance is not ready
    And all accepted submissions become "completed" within 20 seconds

  Scenario: A silent store is noticed by the first calls that wait for it
    Guards against callers that each wait for their deadline while the store gives no answer.
    Given 2 entry processes and 3 queue workers
    When the store is silent
    And 6 submissions are sent
    And 1.2 seconds go by
    And submission "00000000000000b1" of 1 tasks is sent to instance 0
    Then it is answered with 503 and a Retry-After within 0.5 seconds

  Scenario: A caller whose write meets a silent store is told so at once
    Guards against requests that are held until their deadline although nothing answers.
    Given 3 entry processes and 3 queue workers
    When 1.0 seconds go by
    And the store is silent
    And submission "00000000000000b4" of 1 tasks is sent to instance 0
    Then it is answered with 504 and a Retry-After within 2.2 seconds
    When the store is up
    And 1.0 seconds go by
    And submission "00000000000000b4" of 1 tasks is sent to instance 1
    Then it is answered with 200
    And "00000000000000b4" becomes "completed" at instance 2 within 5 seconds
    And every task was started once

  Scenario: A store that was silent is used again within a second of its return
    Guards against calls sent during an outage that hold up those after it until their time-out.
    Given 2 entry processes and 3 queue workers
    When the store is silent
    And 6 submissions are sent
    And 1.5 seconds go by
    And the store is up
    And 0.9 seconds go by
    And submission "00000000000000b2" of 1 tasks is sent to instance 0
    Then it is answered with 200
    And it took at most 0.5 seconds
    And "00000000000000b2" becomes "completed" at instance 1 within 3 seconds

  Scenario: Work that ends while the store is silent is not shown as completed before that is stored
    Guards against a task that runs again after it was shown as done, where its worker leaves and
    all instances are lost before the store is back.
    Given 2 entry processes and 3 queue workers
    When 1.0 seconds go by
    And submission "00000000000000b3" of 2 tasks is sent to instance 0
    And 0.1 seconds go by
    And the store is silent
    And 1.5 seconds go by
    Then "00000000000000b3" becomes "running" at instance 1 within 1 seconds
    When the store is up
    Then "00000000000000b3" becomes "completed" at instance 0 within 4 seconds
    And every task was started once

  Scenario: An instance that starts while the store is silent serves soon after its return
    Guards against a first call without an answer that holds up everything after it.
    Given 2 entry processes and 3 queue workers
    When 1.0 seconds go by
    And the store is silent
    And the instance that is not the owner is killed and started again
    And 1.2 seconds go by
    And the store is up
    Then that instance is ready within 1.3 seconds

  Scenario: Answers of the store are lost
    Guards against work that is lost or doubled when a write's answer does not arrive.
    Given 2 entry processes and 3 queue workers
    When a third of the store's answers are lost
    And 20 submissions are sent
    Then all accepted submissions become "completed" within 20 seconds
    And no rule of the queues was broken

  Scenario: The store forgets its history
    Guards against watches that stop after a lost history.
    Given 2 entry processes and 3 queue workers
    When the store forgets its history
    And version 2 of the configuration adds "/more/"
    And 2.0 seconds go by
    Then a GET of "/more/00000000000000a8" is answered with 410

  Scenario: Rows of ended submissions are removed in the end
    Guards against a table that grows with the age of the cell, and that each new owner loads.
    Given 2 entry processes and 3 queue workers, and states kept for -28 seconds
    When submission "00000000000000c1" of 2 tasks is sent to instance 0
    And "00000000000000c1" is waited for
    Then within 14 seconds the store has no row of "00000000000000c1"
    When 7.0 seconds go by
    Then a GET of "/jobs/00000000000000c1" is answered with 410

  Scenario: Metrics show what an instance decides
    Guards against counters and histograms that operators look for in vain.
    Given 1 entry processes and 2 queue workers
    When submission "00000000000000a9" of 2 tasks is sent to instance 0
    And "00000000000000a9" is waited for
    Then the metrics of instance 0 hold these
      | metric                                               |
      | lavenderhook_task_wait_seconds_bucket                |
      | lavenderhook_submission_seconds_count                |
      | lavenderhook_store_seconds_sum                       |
      | lavenderhook_decisions_total{decision="task-placed"} |
      | lavenderhook_is_owner 1.0                            |

  Scenario: A log reader that does not read holds up nothing
    Guards against decisions that wait for a full pipe.
    Given 1 entry processes whose log is not read and 2 queue workers
    When 60 submissions are sent
    Then all accepted submissions become "completed" within 20 seconds

  Scenario: A planned stop leaves no open connection to a process that ends
    Guards against requests that an ending process reads on a kept-alive connection and doesn't
    answer.
    Given 2 entry processes and 3 queue workers
    When callers send on kept-alive connections every 20 ms while the owner gets SIGTERM
    Then no request that was sent whole stayed without an answer
    And the stopped process ends by itself within 6 seconds

  Scenario: A planned stop answers what it has read and ends within its grace
    Guards against requests that are cut off and processes that have to be killed.
    Given 2 entry processes and 3 queue workers
    When the owner gets SIGTERM while 20 submissions are sent
    Then no answer was cut off
    And the stopped process ends by itself within 6 seconds
    And all accepted submissions become "completed" within 20 seconds
    And no rule of the queues was broken
