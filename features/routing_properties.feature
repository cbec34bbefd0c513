Feature: Invariants of routing under generated histories
  Messages are lost and reordered, upstreams fail and hang, callers leave, and slots move.

  Scenario: Random histories keep the invariants
    Guards against: more requests outstanding on an upstream than the grants allow, a ticket without
    exactly one answer, a request that ends as not run though it may have run, a non-idempotent
    request that may have run twice, and slots that are lost.
    Given 100 generated histories of three instances with a common owner
    Then no history breaks an invariant and all of them get work done
