Feature: Claims of non-idempotent requests
  A non-idempotent request runs at most once and its caller is never misled about it.

  Scenario: Dispatch waits for the claim and the outcome is recorded with the answer
    Guards against a request that runs before its id is reserved, or whose outcome is lost.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 idempotent=false"
    Then it does "claim 1"
    When it sees "claim 1 claimed; answer 1 u1 status=500"
    Then it does "dispatch 1 u1; record 1 Completed; answer 1 Completed"

  Scenario Outline: A claim that is not ours answers without dispatch
    Guards against a second run of the same request id.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 idempotent=false; claim 1 <claim>"
    Then it does "claim 1; answer 1 <answer>"

    Examples:
      | claim       | answer                    |
      | recorded    | Stored                    |
      | in-progress | Unknown in-progress       |
      | different   | NotRun request-id-reused  |
      | unavailable | Unknown earlier-send      |

  Scenario: A first send whose claim cannot be made was certainly not run
    Guards against an unknown outcome where the caller states that no earlier send exists.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 idempotent=false first=true; claim 1 unavailable"
    Then it does "claim 1; answer 1 NotRun store-unavailable"

  Scenario: A connection that was refused lets another upstream try under the same claim
    Guards against a needless refusal, and against a second claim for the same request.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1 idempotent=false; claim 1 claimed; grants u1:1 u2:1; fail 1 u1 unsent; wait 0.1;
      answer 1 u2
      """
    Then it does "claim 1; dispatch 1 u1; dispatch 1 u2; record 1 Completed; answer 1 Completed"

  Scenario: A lost connection is never followed by a second dispatch
    Guards against duplicated work, which is billed twice.
    Given an instance that holds "u1:1 u2:1"
    When it sees
      """
      heartbeat b free=8; arrive 1 idempotent=false tier=none; abandon 1;
      arrive 2 idempotent=false; claim 2 claimed; fail 2 u1; fail 2 u2; wait 1
      """
    Then request 2 is dispatched once, recorded and answered as unknown

  Scenario: A claim that resolves after its caller was answered is released
    Guards against ids that stay in progress for ever though the request never ran.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1 idempotent=false first=true deadline=1; wait 1.1; claim 1 claimed;
      arrive 2 idempotent=false; abandon 2; claim 2 claimed
      """
    Then it does
      """
      claim 1; answer 1 NotRun store-unavailable; release r1; claim 2;
      answer 2 Unknown earlier-send; release r2
      """

  Scenario: A claimed request that was shed releases its claim
    Guards against a caller that may send again by its answer but finds its id in use.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2 idempotent=false deadline=1; claim 2 claimed; wait 1.1"
    Then it does "dispatch 1 u1; claim 2; release r2; answer 2 NotRun deadline-before-start"

  Scenario: The forwarding instance claims, the peer does not
    Guards against a peer that finds the origin's claim and refuses the request.
    Given an instance that holds "u1:1"
    When it sees "arrive 1 idempotent=false from=b; answer 1 u1"
    Then it does "dispatch 1 u1; answer 1 Completed"
    When it sees
      """
      heartbeat c free=1; arrive 2; arrive 3 idempotent=false; claim 3 claimed;
      peer-answer 3 c completed
      """
    Then it does "dispatch 2 u1; claim 3; forward 3 c; record 3 Completed; answer 3 Completed"

  Scenario: A peer that is lost after the request was sent leaves it unknown
    Guards against a second run elsewhere.
    Given an instance that holds "u1:1"
    When it sees
      """
      heartbeat c free=1; arrive 1; arrive 2 idempotent=false; claim 2 claimed; answer 1 u1;
      peer-fail 2 c
      """
    Then it does
      """
      dispatch 1 u1; claim 2; forward 2 c; answer 1 Completed; record 2 Unknown peer-lost;
      answer 2 Unknown peer-lost
      """
