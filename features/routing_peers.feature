Feature: Forwarding, leaving upstreams, grants and shutdown

  Scenario: Forwarding only when no own slot is free, own zone first
    Guards against needless hops, needless zone crossings, and a peer that gets more than the free
    slots that it reported before it reports again.
    Given an instance that holds "u1:1"
    When it sees
      """
      heartbeat b zone=z2 free=9; heartbeat c zone=z1 free=1; arrive 1; arrive 2; arrive 3
      """
    Then it does "dispatch 1 u1; forward 2 c; forward 3 b"
    And each request has one routing log line with a reason for each decision

  Scenario: A queued request goes to a peer as soon as it reports a free slot
    Guards against requests that wait here while peers idle.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2; heartbeat b free=1"
    Then it does "dispatch 1 u1; forward 2 b"

  Scenario: A request that a peer did not run is served here and not forwarded twice
    Guards against requests that are passed around or lost when a peer's report was stale.
    Given an instance that holds "u1:1"
    When it sees
      """
      heartbeat b free=1; arrive 1; arrive 2; heartbeat c free=1;
      peer-answer 2 b not-run reason=no-upstream; answer 1 u1
      """
    Then it does "dispatch 1 u1; forward 2 b; answer 1 Completed; dispatch 2 u1"

  Scenario: A peer that could not be reached is replaced by another one
    Guards against a refusal although no byte was sent.
    Given an instance that holds "u1:1"
    When it sees "heartbeat b free=1; arrive 1; arrive 2; heartbeat c free=1; peer-fail 2 b unsent"
    Then it does "dispatch 1 u1; forward 2 b; forward 2 c"

  Scenario: Peers that leave or fell silent get nothing
    Guards against requests that are sent to an instance that is going away.
    Given an instance that holds "u1:1"
    When it sees
      """
      heartbeat b free=5; heartbeat c free=5; heartbeat b free=5 state=leaving; wait 1.1;
      arrive 1; arrive 2
      """
    Then it does "dispatch 1 u1"

  Scenario Outline: A leaving upstream gets no new work from the moment it is known
    Guards against requests that a stopping upstream drops.
    Given an instance that holds "u1:1"
    When it sees "workers w1 w2; <signal>; arrive 1"
    Then it does nothing
    And its digest shows "0" free slots and leaving "<told>"

    Examples:
      | signal                      | told |
      | heartbeat b leaving=u1      | u1   |
      | workers w1:leaving w2       | none |
      | workers w2                  | none |
      | drain w1                    | none |

  Scenario: The end of a drain starts what waits
    Guards against upstreams that stay unused after operators took a drain back.
    Given an instance that holds "u1:1"
    When it sees "workers w1; drain w1; arrive 1; drain w1 end"
    Then it does "dispatch 1 u1"

  Scenario: An upstream that refuses because it leaves costs no request
    Guards against failed requests and spent retry budget in a planned stop.
    Given an instance that holds "u1:1"
    When it sees
      """
      arrive 1 idempotent=false; claim 1 claimed; grants u1:1 u2:1;
      answer 1 u1 status=503 not-run leaving; answer 1 u2; arrive 2
      """
    Then it does
      """
      claim 1; dispatch 1 u1; dispatch 1 u2; record 1 Completed; answer 1 Completed;
      dispatch 2 u2
      """
    And its digest shows "0" free slots and leaving "u1"

  Scenario: A requested lower limit is promised only as far as slots are unused
    Guards against a slot that is given to another instance while it is in use here.
    Given an instance that holds "u1:3"
    When it sees
      """
      arrive 1; arrive 2; arrive 3; grants u1:3 u1=1; answer 1 u1; answer 2 u1; arrive 4;
      timer grant-report
      """
    Then it does
      """
      dispatch 1 u1; dispatch 2 u1; dispatch 3 u1; report; answer 1 Completed;
      answer 2 Completed; report u1=1
      """

  Scenario: Older grant updates are ignored
    Guards against a stale owner or a delayed message that raises a limit again.
    Given an instance that holds "u1:1"
    When it sees "grants u1:1 version=9; grants u1:5 version=8; arrive 1; arrive 2"
    Then it does "dispatch 1 u1"

  Scenario: A graceful shutdown interrupts no request
    Guards against lost requests in planned stops: new ones are served in the grace period, queued
    ones go to peers or are refused, and those in flight finish before the process stops.
    Given an instance that holds "u1:1"
    When it sees "shutdown; arrive 1; arrive 2; arrive 3 from=c; wait 1.9"
    Then it does "dispatch 1 u1"
    When it sees "heartbeat b state=alive; wait 0.2; peer-answer 2 b completed"
    Then it does
      """
      CloseListeners; forward 2 b; answer 3 NotRun shutting-down; report; answer 2 Completed
      """
    When it sees "answer 1 u1; wait 0.1"
    Then it does "answer 1 Completed; report u1=0; StopProcess"

  Scenario: A shutdown without peers answers what it cannot run
    Guards against callers that see a closed connection instead of an outcome.
    Given an instance that holds "u1:1"
    When it sees "arrive 1; arrive 2; shutdown; wait 2.1; arrive 4"
    Then it does
      """
      dispatch 1 u1; CloseListeners; answer 2 NotRun shutting-down; report;
      answer 4 NotRun shutting-down
      """
