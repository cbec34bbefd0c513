Feature: Forwarding, leaving upstreams, grants and shutdown
  One instance among peers is driven through the reducer in virtual time.

  Scenario: Requests are forwarded only without a free own slot, and in the own zone first
    Guards against needless hops, needless traffic between zones, and a peer that gets more requests
    than it last reported free slots.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat b zone=z2 free=9; heartbeat c zone=z1 free=1; arrive 1; arrive 2; arrive 3
      """
    Then it emits "dispatch 1 u1; forward 2 c; forward 3 b"
    And each request has one routing log line with a reason for each decision

  Scenario: A queued request goes to a peer as soon as it reports a free slot
    Guards against requests that wait at one instance while its peers are idle.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2; heartbeat b free=1"
    Then it emits "dispatch 1 u1; forward 2 b"

  Scenario: A request that a peer did not run is served locally and not forwarded again
    Guards against requests that are forwarded repeatedly or lost because a peer's report was stale.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat b free=1; arrive 1; arrive 2; heartbeat c free=1;
      peer-answer 2 b not-run reason=no-upstream; answer 1 u1
      """
    Then it emits "dispatch 1 u1; forward 2 b; answer 1 Completed; dispatch 2 u1"

  Scenario: An unreachable peer is replaced by another one
    Guards against a rejection although no byte of the request was sent.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat b free=1; arrive 1; arrive 2; heartbeat c free=1; peer-fail 2 b unsent
      """
    Then it emits "dispatch 1 u1; forward 2 b; forward 2 c"

  Scenario: Leaving or unresponsive peers get no requests
    Guards against requests that are sent to an instance that is stopping.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat b free=5; heartbeat c free=5; heartbeat b free=5 state=leaving; wait 1.1;
      arrive 1; arrive 2
      """
    Then it emits "dispatch 1 u1"

  Scenario Outline: A leaving upstream gets no new requests as soon as an instance knows of it
    Guards against requests that are lost because the upstream stops.
    Given an instance with granted slots "u1:1"
    When it receives "workers w1 w2; <signal>; arrive 1"
    Then it emits no effects
    And its heartbeat reports "0" free slots and leaving upstreams "<reported>"

    Examples:
      | signal                      | reported |
      | heartbeat b leaving=u1      | u1       |
      | workers w1:leaving w2       | none     |
      | workers w2                  | none     |
      | drain w1                    | none     |

  Scenario: Ending a drain dispatches waiting requests
    Guards against upstreams that stay unused after operators have cancelled a drain.
    Given an instance with granted slots "u1:1"
    When it receives "workers w1; drain w1; arrive 1; drain w1 end"
    Then it emits "dispatch 1 u1"

  Scenario: A request that a leaving upstream rejects is dispatched to another one
    Guards against failed requests and consumed retry budget during a planned stop.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1 idempotent=false; claim 1 claimed; grants u1:1 u2:1;
      answer 1 u1 status=503 not-run leaving; answer 1 u2; arrive 2
      """
    Then it emits
      """
      claim 1; dispatch 1 u1; dispatch 1 u2; record 1 Completed; answer 1 Completed;
      dispatch 2 u2
      """
    And its heartbeat reports "0" free slots and leaving upstreams "u1"

  Scenario: A requested lower limit is acknowledged only as far as slots are unused
    Guards against granting a slot to another instance while it is in use at this one.
    Given an instance with granted slots "u1:3"
    When it receives
      """
      arrive 1; arrive 2; arrive 3; grants u1:3 u1=1; answer 1 u1; answer 2 u1; arrive 4;
      timer grant-report
      """
    Then it emits
      """
      dispatch 1 u1; dispatch 2 u1; dispatch 3 u1; report; answer 1 Completed;
      answer 2 Completed; report u1=1
      """

  Scenario: Older grant updates are ignored
    Guards against a stale owner or a delayed message that raises a limit again.
    Given an instance with granted slots "u1:1"
    When it receives "grants u1:1 version=9; grants u1:5 version=8; arrive 1; arrive 2"
    Then it emits "dispatch 1 u1"

  Scenario: A graceful shutdown interrupts no request
    Guards against lost requests during planned stops: new ones are served in the grace period,
    queued ones are forwarded or rejected, and those in flight finish before the process stops.
    Given an instance with granted slots "u1:1"
    When it receives "shutdown; arrive 1; arrive 2; arrive 3 from=c; wait 1.9"
    Then it emits "dispatch 1 u1"
    When it receives "heartbeat b state=alive; wait 0.2; peer-answer 2 b completed"
    Then it emits
      """
      CloseListeners; forward 2 b; answer 3 NotRun shutting-down; report; answer 2 Completed
      """
    When it receives "answer 1 u1; wait 0.1"
    Then it emits "answer 1 Completed; report u1=0; StopProcess"

  Scenario: A shutdown without peers answers the requests that it cannot run
    Guards against callers that see a closed connection instead of an outcome.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2; shutdown; wait 2.1; arrive 4"
    Then it emits
      """
      dispatch 1 u1; CloseListeners; answer 2 NotRun shutting-down; report;
      answer 4 NotRun shutting-down
      """
