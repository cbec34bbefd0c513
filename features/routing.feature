Feature: Routing of requests
  One instance is driven through the reducer in virtual time.

  Scenario: No upstream gets more requests than the granted slots
    Guards against overcommitted upstreams: a third request must wait until one of two slots is
    free.
    Given an instance with granted slots "u1:2"
    When it receives "arrive 1; arrive 2; arrive 3; answer 1 u1"
    Then it emits "dispatch 1 u1; dispatch 2 u1; answer 1 Completed; dispatch 3 u1"

  Scenario: A slot stays in use after a time-out
    Guards against a second request on a slot whose upstream still processes the first one.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 deadline=1; arrive 2; wait 1; fail 1 u1 timeout"
    Then it emits "dispatch 1 u1; answer 1 Unknown timeout"
    When it receives "released 1 u1"
    Then it emits "dispatch 2 u1"

  Scenario: A slot that is never released returns after the quarantine
    Guards against slots that are lost permanently because an upstream never responds.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1 idempotent=false; claim 1 claimed; fail 1 u1 timeout; wait 29.9; arrive 2;
      wait 0.2
      """
    Then it emits
      """
      claim 1; dispatch 1 u1; record 1 Unknown timeout; answer 1 Unknown timeout; dispatch 2 u1
      """

  Scenario: The instance's own availability zone is preferred
    Guards against traffic between zones while the instance's own zone has a free slot.
    Given an instance with granted slots "u1:8:z2 u2:1:z1"
    When it receives "arrive 1; arrive 2"
    Then it emits "dispatch 1 u2; dispatch 2 u1"
    And each request has one routing log line with a reason for each decision

  Scenario: The labels of a request must match those of the upstream
    Guards against a request on an upstream whose labels do not match, and against requests that are
    blocked behind one that waits for a label that few upstreams have.
    Given an instance with granted slots "u1:1:z1:fast u2:1:z1:slow"
    When it receives "arrive 1 tier=fast; arrive 2 tier=fast; arrive 3; answer 3 u2; answer 1 u1"
    Then it emits
      """
      dispatch 1 u1; dispatch 3 u2; answer 3 Completed; answer 1 Completed; dispatch 2 u1
      """

  Scenario: Urgent requests go first and lower priority classes keep an eighth of the dispatches
    Guards against urgent requests that wait behind batch requests, and against starvation of batch
    requests.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1; arrive 20 class=batch; arrive 21 class=batch; arrive 2 class=urgent;
      arrive 3 class=urgent; arrive 4 class=urgent; arrive 5 class=urgent; arrive 6 class=urgent;
      arrive 7 class=urgent; arrive 8 class=urgent; arrive 9 class=urgent; answer 1 u1;
      answer 2 u1; answer 3 u1; answer 4 u1; answer 5 u1; answer 6 u1; answer 7 u1; answer 8 u1;
      answer 20 u1
      """
    Then it emits
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 2 Completed; dispatch 3 u1;
      answer 3 Completed; dispatch 4 u1; answer 4 Completed; dispatch 5 u1; answer 5 Completed;
      dispatch 6 u1; answer 6 Completed; dispatch 7 u1; answer 7 Completed; dispatch 8 u1;
      answer 8 Completed; dispatch 20 u1; answer 20 Completed; dispatch 9 u1
      """

  Scenario: The earliest deadline goes first within a priority class
    Guards against requests that miss their deadlines because others with later deadlines arrived
    first.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2 deadline=9; arrive 3 deadline=2; answer 1 u1"
    Then it emits "dispatch 1 u1; answer 1 Completed; dispatch 3 u1"

  Scenario: A request that cannot start in time is rejected at once
    Guards against callers that wait although their requests cannot end in time. With one slot and
    responses of 1 s, request 4 would start after request 3 in 2 s, too late for its deadline.
    Queued requests are rejected as soon as they can no longer end in time.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1; wait 1; answer 1 u1; arrive 2; arrive 3 deadline=2; arrive 4 deadline=2.5
      """
    Then it emits
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 4 NotRun deadline-before-start
      """
    When it receives "wait 0.9"
    Then it emits no effects
    When it receives "wait 0.2"
    Then it emits "answer 3 NotRun deadline-before-start"

  Scenario: A full queue rejects requests at once
    Guards against unbounded queues.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 100"
    And 17 more requests arrive
    Then it emits "answer 17 NotRun queue-full"

  Scenario: Requests for undeclared services are rejected
    Guards against queues for arbitrary names that callers send.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 service=other"
    Then it emits "answer 1 NotRun no-such-service"

  Scenario: A failed idempotent request is retried on another upstream
    Guards against errors that are returned although another upstream could serve the request.
    The first retry has a backoff of at most 0.01 s.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; grants u1:1 u2:1; answer 1 u1 status=500; wait 0.1; answer 1 u2"
    Then it emits "dispatch 1 u1; dispatch 1 u2; answer 1 Completed"

  Scenario: A forwarded request is neither retried nor forwarded again
    Guards against forwarding loops and against retries that multiply the load among instances.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat c free=8; arrive 1 from=b; arrive 2 from=b; answer 1 u1 status=500; wait 0.1;
      fail 2 u1
      """
    Then it emits
      """
      dispatch 1 u1; answer 1 Completed; dispatch 2 u1; answer 2 Unknown connection-lost
      """

  Scenario: Retries stop when the budget is spent
    Guards against a retry storm: the budget holds ten retries, and ten requests earn one more.
    Given an instance with granted slots "u1:100 u2:100"
    When 40 idempotent requests arrive and every exchange gets status 500
    Then there are at most 14 retries and every request is answered

  Scenario: A request that breaks every connection is sent to four upstreams at most
    Guards against one request that crashes upstream after upstream.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1; grants u1:1 u2:1; fail 1 u1; wait 0.3; grants u1:1 u2:1 u3:1; fail 1 u2; wait 0.3;
      grants u1:1 u2:1 u3:1 u4:1; fail 1 u3; wait 0.3; grants u1:1 u2:1 u3:1 u4:1 u5:1; fail 1 u4;
      wait 1
      """
    Then it emits
      """
      dispatch 1 u1; dispatch 1 u2; dispatch 1 u3; dispatch 1 u4; answer 1 Unknown connection-lost
      """

  Scenario: A request that may have run is never reported as not run
    Guards against duplicate work: a caller that is told that its request did not run sends it
    again.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 deadline=1; arrive 2; fail 1 u1; wait 1.5"
    Then it emits "dispatch 1 u1; dispatch 2 u1; answer 1 Unknown connection-lost"

  Scenario: A request that got an error and no later response is reported with that reason
    Guards against callers that are told of a time-out although an upstream answered with an error.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 deadline=1; arrive 2; answer 1 u1 status=500; wait 1.5"
    Then it emits "dispatch 1 u1; dispatch 2 u1; answer 1 Unknown error-status"

  Scenario: An abandoned request keeps its slot until the upstream responds
    Guards against overcommitted upstreams after callers have disconnected, and against dispatching
    requests for which no caller waits.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2; arrive 3; abandon 1; abandon 2; answer 1 u1 status=500"
    Then it emits "dispatch 1 u1; answer 2 NotRun abandoned; answer 1 Completed; dispatch 3 u1"

  Scenario: An upstream with consecutive failures is ejected and returns by slow start
    Guards against a broken upstream that attracts requests because it fails them quickly.
    Given an instance with granted slots "u1:4 u2:4 u3:4 u4:4"
    When "u1" fails 5 requests from peers
    Then new requests from peers are dispatched only to "u2,u3,u4"
    When it receives "wait 5.1"
    Then the concurrency limit of "u1" is 1
    When it receives "wait 5.1"
    Then the concurrency limit of "u1" is 4

  Scenario: At most the configured share of upstreams is ejected
    Guards against a faulty caller or network that causes the ejection of all upstreams.
    Given an instance with granted slots "u1:4 u2:4 u3:4 u4:4"
    When "u1" fails 5 requests from peers
    And "u2" fails 5 requests from peers
    Then the concurrency limit of "u2" is 4

  Scenario: Upstreams that fail as often as all others are not ejected
    Guards against a loss of capacity although no upstream is worse than the others.
    Given an instance with granted slots "u1:4 u2:4 u3:4 u4:4 u5:4 u6:4 u7:4 u8:4"
    When half of 400 requests from peers fail on every upstream
    Then no upstream of "u1,u2,u3,u4,u5,u6,u7,u8" is ejected

  Scenario: No request may last longer than the quarantine
    Guards against granting the slots of a lost instance again while its requests still run.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2 deadline=600; wait 29.9"
    Then it emits "dispatch 1 u1"
    When it receives "wait 0.2"
    Then it emits "answer 2 NotRun deadline-before-start"

  Scenario: A resumed instance dispatches nothing before it has read the platform's list again
    Guards against dispatches to an upstream that left while this process was paused.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      pause 5; arrive 1 deadline=2; workers w1 age=3; wait 0.1; workers w1:leaving; wait 2.5;
      workers w1; arrive 2
      """
    Then it emits "answer 1 NotRun no-upstream; dispatch 2 u1"
