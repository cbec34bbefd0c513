Feature: Invariants of routing under random event sequences
  Messages are lost and reordered, upstreams fail and time out, callers disconnect, and slots move.

  Scenario: Random event sequences violate no invariant
    Guards against: more requests outstanding on an upstream than the grants allow, a ticket without
    exactly one answer, a request that is reported as not run although it may have run, a
    non-idempotent request that may have run twice, and slots that are lost.
    Given 100 generated event sequences for three instances sharing a shard owner
    Then no sequence violates an invariant, and the sequences together complete work
