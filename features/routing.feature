Feature: Routing of requests
  One instance, driven through the reducer with virtual time.

  Scenario: No upstream gets more requests than the granted slots
    Guards against overcommitted upstreams: a third request must wait for an answer.
    Given an instance that holds "u1:2"
    When it sees "arrive 1; arrive 2; arrive 3; answer 1 u1"
    Then it does "dispatch 1 u1; dispatch 2 u1; answer 1 Completed; dispatch 3 u1"

  Scenario: A slot stays in use after a timeout
    Guards against a second request on a slot whose upstream still works on the first.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 deadline=1; arrive 2; wait 1; fail 1 u1 timeout"
    Then it does "dispatch 1 u1; answer 1 Unknown timeout"
    When it sees "released 1 u1"
    Then it does "dispatch 2 u1"

  Scenario: A slot that is never released returns after the quarantine
    Guards against slots that are lost for good when an upstream hangs.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1 idempotent=false; claim 1 claimed; fail 1 u1 timeout; wait 29.9; arrive 2;
      wait 0.2
      """
    Then it does
      """
      claim 1; dispatch 1 u1; record 1 Unknown timeout; answer 1 Unknown timeout; dispatch 2 u1
      """

  Scenario: The own availability zone is used first
    Guards against bytes that cross zones while the own zone has a free slot.
    Given an instance that holds "u1:8:z2 u2:1:z1"
    When it sees "arrive 1; arrive 2"
    Then it does "dispatch 1 u2; dispatch 2 u1"
    And each request has one routing log line with a reason for each decision

  Scenario: Labels of a request must match the upstream's
    Guards against work on an upstream that the caller excluded, and against other requests being
    held up behind one that waits for a rare label.
    Given an instance that holds "u1:1:z1:fast u2:1:z1:slow"
    When it sees "arrive 1 tier=fast; arrive 2 tier=fast; arrive 3; answer 3 u2; answer 1 u1"
    Then it does
      """
      dispatch 1 u1; dispatch 3 u2; answer 3 Completed; answer 1 Completed; dispatch 2 u1
      """

  Scenario: Urgent requests go first and lower classes keep an eighth
    Guards against starvation of batch work, and against urgent work that waits behind it.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1; arrive 20 class=batch; arrive 21 class=batch; arrive 2 class=urgent;
      arrive 3 class=urgent; arrive 4 class=urgent; arrive 5 class=urgent; arrive 6 class=urgent;
      arrive 7 class=urgent; arrive 8 class=urgent; arrive 9 class=urgent; answer 1 u1;
      answer 2 u1; answer 3 u1; answer 4 u1; answer 5 u1; answer 6 u1; answer 7 u1; answer 8 u1;
      answer 20 u1
      """
    Then it does
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 2 Completed; dispatch 3 u1;
      answer 3 Completed; dispatch 4 u1; answer 4 Completed; dispatch 5 u1; answer 5 Completed;
      dispatch 6 u1; answer 6 Completed; dispatch 7 u1; answer 7 Completed; dispatch 8 u1;
      answer 8 Completed; dispatch 20 u1; answer 20 Completed; dispatch 9 u1
      """

  Scenario: The earliest deadline goes first within a class
    Guards against late work that first-come order causes.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2 deadline=9; arrive 3 deadline=2; answer 1 u1"
    Then it does "dispatch 1 u1; answer 1 Completed; dispatch 3 u1"

  Scenario: A request that cannot start in time is shed at once
    Guards against callers that wait for nothing. With responses of 1 s and one slot, request 4
    would start after request 3 in 2 s, too late for its deadline. Those that were queued are shed
    once they cannot end in time either.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1; wait 1; answer 1 u1; arrive 2; arrive 3 deadline=2; arrive 4 deadline=2.5
      """
    Then it does
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 4 NotRun deadline-before-start
      """
    When it sees "wait 0.9"
    Then it does nothing
    When it sees "wait 0.2"
    Then it does "answer 3 NotRun deadline-before-start"

  Scenario: A full queue refuses at once
    Guards against queues without bound.
    Given an instance that holds "u1:1"
    When it sees "arrive 100"
    And 17 more requests arrive
    Then it does "answer 17 NotRun queue-full"

  Scenario: Requests for undeclared services are refused
    Guards against queues for names that callers make up.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 service=other"
    Then it does "answer 1 NotRun no-such-service"

  Scenario: A failed idempotent request is tried on another upstream
    Guards against errors that another upstream would not have given.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; grants u1:1 u2:1; answer 1 u1 status=500; wait 0.1; answer 1 u2"
    Then it does "dispatch 1 u1; dispatch 1 u2; answer 1 Completed"

  Scenario: A forwarded request is neither retried nor forwarded again
    Guards against loops and multiplied load among instances.
    Given an instance that holds "u1:1"
    When it sees
      """
      heartbeat c free=8; arrive 1 from=b; arrive 2 from=b; answer 1 u1 status=500; wait 0.1;
      fail 2 u1
      """
    Then it does
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 2 Unknown connection-lost
      """

  Scenario: Retries stop when the budget is spent
    Guards against a retry storm: ten retries are saved up, one more is earned by ten requests.
    Given an instance that holds "u1:100 u2:100"
    When 40 idempotent requests arrive and every exchange gets status 500
    Then there are at most 14 retries and every request is answered

  Scenario: A request that may have run never ends as not run
    Guards against work done twice because a caller was told that it was not done.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 deadline=1; arrive 2; fail 1 u1; wait 1.5"
    Then it does "dispatch 1 u1; dispatch 2 u1; answer 1 Unknown connection-lost"

  Scenario: An abandoned request keeps its slot until the upstream answers
    Guards against overcommitted upstreams when callers give up, and against dispatching work that
    nobody waits for.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2; arrive 3; abandon 1; abandon 2; answer 1 u1 status=500"
    Then it does "dispatch 1 u1; answer 2 NotRun abandoned; answer 1 Completed; dispatch 3 u1"

  Scenario: An upstream that fails in a row is ejected and returns by slow start
    Guards against a broken upstream that draws all work by failing quickly.
    Given an instance that holds "u1:4 u2:4 u3:4 u4:4"
    When "u1" fails 5 requests of peers
    Then new requests of peers use "u2,u3,u4" only
    When it sees "wait 5.1"
    Then "u1" may serve 1 request at a time
    When it sees "wait 5.1"
    Then "u1" may serve 4 request at a time

  Scenario: At most the configured share of upstreams is ejected
    Guards against a bad caller or network that takes all upstreams away.
    Given an instance that holds "u1:4 u2:4 u3:4 u4:4"
    When "u1" fails 5 requests of peers
    And "u2" fails 5 requests of peers
    Then "u2" may serve 4 request at a time

  Scenario: Upstreams that fail like all others are not ejected
    Guards against capacity that is taken away although no upstream is worse than another.
    Given an instance that holds "u1:4 u2:4 u3:4 u4:4 u5:4 u6:4 u7:4 u8:4"
    When half of 400 requests of peers fail on every upstream
    Then "u1,u2,u3,u4,u5,u6,u7,u8" stay in use

  Scenario: No request may last longer than the quarantine
    Guards against slots of a lost instance that are given away while its requests still run.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2 deadline=600; wait 29.9"
    Then it does "dispatch 1 u1"
    When it sees "wait 0.2"
    Then it does "answer 2 NotRun deadline-before-start"
