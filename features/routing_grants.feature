Feature: Division of slots among entry instances
  The shard owner's side, driven with planned members, promises and demand.

  Scenario: The first plan grants all slots at once, own zone first
    Guards against idle slots, and against grants that make requests cross zones.
    Given members "a:z1 b:z1 c:z2" and upstreams "u1:8:z1 u2:8:z2 u3:8:z1"
    When the owner plans and commits
    Then the grants are "u1 a=4 b=4; u2 c=8; u3 a=4 b=4"

  Scenario: A zone without an instance is shared by the others
    Guards against upstreams that nobody uses.
    Given members "a:z1 b:z2" and upstreams "u1:8:z1 u2:8:z3 u3:8:z2"
    When the owner plans and commits
    Then every slot is granted
    And "a" and "b" both hold slots of "u2"

  Scenario: An instance without upstreams in its zone gets a share
    Guards against an instance that must forward every request.
    Given members "a:z1 b:z2" and upstreams "u1:8:z1 u2:8:z1"
    When the owner plans and commits
    Then every slot is granted
    And "b" holds from 4 to 8 slots

  Scenario: A newcomer gets its share only from promised slots
    Guards against two instances that use the same slot.
    Given members "a:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And member "b:z1" joins
    And the owner plans and commits
    Then the grants are "u1 a=8"
    And the owner asks "a" for "u1=4"
    When "a" reports "u1=6"
    And the owner plans and commits
    Then the grants are "u1 a=6 b=2"

  Scenario: A promise on an older update does not count
    Guards against slots given away while a later update raised the holder's limit again.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And other records are committed and updates sent
    And "a" reports "u1=1" on an older version
    Then an update for "a" is due
    When the owner plans and commits
    Then the grants are "u1 a=4 b=4"

  Scenario: An update between promise and commit does not raise the limit
    Guards against a holder that uses again the slots that it just promised to give up.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And "a" reports "u1=1"
    And the owner plans
    And other records are committed and updates sent
    Then the update for "a" limits "u1" to 1
    When the owner plans
    Then it changes nothing that is not committed yet

  Scenario: Demand moves slots at most once a second
    Guards against grants that follow every fluctuation.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1 u2:8:z1"
    When the owner plans and commits
    And "a" needs 40 slots
    Then the owner asks "b" for "u1=1 u2=1"
    And the owner does not ask again within 0.9 s
    And the owner asks again after 1.1 s

  Scenario: A gone holder keeps its slots through the quarantine
    Guards against new work on slots whose old requests still run.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And "b" is failed for 100 s
    And the owner plans and commits
    Then the grants are "u1 a=4 b=4"
    When "b" is gone for 29 s
    And the owner plans and commits
    Then the grants are "u1 a=4 b=4"
    When "b" is gone for 30 s
    And the owner plans and commits
    Then the grants are "u1 a=8"
