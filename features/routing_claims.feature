Feature: Claims of non-idempotent requests
  A non-idempotent request runs at most once, and its caller never gets a wrong outcome.

  Scenario: Dispatch waits for the claim and the outcome is recorded before the answer
    Guards against a request that runs before its id is claimed, and against a lost outcome.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 idempotent=false"
    Then it emits "claim 1"
    When it receives "claim 1 claimed; answer 1 u1 status=500"
    Then it emits "dispatch 1 u1; record 1 Completed; answer 1 Completed"

  Scenario Outline: A request claimed elsewhere is answered without dispatch
    Guards against a second run of a request id that another send has claimed, or that may have run.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 idempotent=false; claim 1 <claim>"
    Then it emits "claim 1; answer 1 <answer>"

    Examples:
      | claim       | answer                    |
      | recorded    | Stored                    |
      | in-progress | Unknown in-progress       |
      | different   | NotRun request-id-reused  |
      | unavailable | Unknown earlier-send      |

  Scenario: A first send without a claim is reported as not run
    Guards against an unknown outcome although the caller states that there was no earlier send.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 idempotent=false first=true; claim 1 unavailable"
    Then it emits "claim 1; answer 1 NotRun store-unavailable"

  Scenario: After a refused connection another upstream is tried under the same claim
    Guards against a needless rejection and against a second claim for the same request.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1 idempotent=false; claim 1 claimed; grants u1:1 u2:1; fail 1 u1 unsent; wait 0.1;
      answer 1 u2
      """
    Then it emits "claim 1; dispatch 1 u1; dispatch 1 u2; record 1 Completed; answer 1 Completed"

  Scenario: A lost connection is never followed by a second dispatch
    Guards against duplicate work, which is billed twice: the request may have run on the upstream
    whose connection was lost.
    Given an instance with granted slots "u1:1 u2:1"
    When it receives
      """
      heartbeat b free=8; arrive 1 idempotent=false tier=none; abandon 1;
      arrive 2 idempotent=false; claim 2 claimed; fail 2 u1; fail 2 u2; wait 1
      """
    Then request 2 is dispatched once, recorded and answered as unknown

  Scenario: A claim that resolves after its caller was answered is released
    Guards against ids that stay in progress indefinitely although the requests never ran.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      arrive 1 idempotent=false first=true deadline=1; wait 1.1; claim 1 claimed;
      arrive 2 idempotent=false; abandon 2; claim 2 claimed
      """
    Then it emits
      """
      claim 1; answer 1 NotRun store-unavailable; release r1; claim 2;
      answer 2 Unknown earlier-send; release r2
      """

  Scenario: A claimed request that is rejected releases its claim
    Guards against a caller that is told that it may send again but finds its id in progress.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1; arrive 2 idempotent=false deadline=1; claim 2 claimed; wait 1.1"
    Then it emits "dispatch 1 u1; claim 2; release r2; answer 2 NotRun deadline-before-start"

  Scenario: The forwarding instance claims a request and the peer does not
    Guards against a peer that rejects the request because it finds the claim of the origin.
    Given an instance with granted slots "u1:1"
    When it receives "arrive 1 idempotent=false from=b; answer 1 u1"
    Then it emits "dispatch 1 u1; answer 1 Completed"
    When it receives
      """
      heartbeat c free=1; arrive 2; arrive 3 idempotent=false; claim 3 claimed;
      peer-answer 3 c completed
      """
    Then it emits "dispatch 2 u1; claim 3; forward 3 c; record 3 Completed; answer 3 Completed"

  Scenario: The outcome is unknown if a peer is lost after the request was sent
    Guards against a second run on another instance.
    Given an instance with granted slots "u1:1"
    When it receives
      """
      heartbeat c free=1; arrive 1; arrive 2 idempotent=false; claim 2 claimed; answer 1 u1;
      peer-fail 2 c
      """
    Then it emits
      """
      dispatch 1 u1; claim 2; forward 2 c; answer 1 Completed; record 2 Unknown peer-lost;
      answer 2 Unknown peer-lost
      """
