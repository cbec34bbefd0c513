Feature: Division of slots among entry instances
  The grant planning of the shard owner is driven with given members, reports and demand.

  Scenario: The first plan grants all slots, in the own zone first
    Guards against unused slots and against grants that lead to traffic between zones.
    Given members "a:z1 b:z1 c:z2" and upstreams "u1:8:z1 u2:8:z2 u3:8:z1"
    When the owner plans and commits
    Then the grants are "u1 a=4 b=4; u2 c=8; u3 a=4 b=4"

  Scenario: The upstreams of a zone without an instance are shared by the others
    Guards against upstreams that no instance uses.
    Given members "a:z1 b:z2" and upstreams "u1:8:z1 u2:8:z3 u3:8:z2"
    When the owner plans and commits
    Then every slot is granted
    And "a" and "b" both hold slots of "u2"

  Scenario: An instance without upstreams in its zone gets slots of another zone
    Guards against an instance that must forward every request.
    Given members "a:z1 b:z2" and upstreams "u1:8:z1 u2:8:z1"
    When the owner plans and commits
    Then every slot is granted
    And "b" holds from 4 to 8 slots

  Scenario: A new member gets slots only from acknowledged reductions
    Guards against two instances that use the same slot.
    Given members "a:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And member "b:z1" joins
    And the owner plans and commits
    Then the grants are "u1 a=8"
    And the owner requests that "a" reduce its limits to "u1=4"
    When "a" reports the limits "u1=6"
    And the owner plans and commits
    Then the grants are "u1 a=6 b=2"

  Scenario: A report for an older update does not acknowledge a reduction
    Guards against slots that are granted to another holder although a later update has raised the
    holder's limit again.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And other records are committed and updates are sent
    And "a" reports the limits "u1=1" for an older version
    Then an update for "a" is pending
    When the owner plans and commits
    Then the grants are "u1 a=4 b=4"

  Scenario: An update between an acknowledgement and its commit does not raise the limit
    Guards against a holder that uses slots again that it has just agreed to give up.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And "a" reports the limits "u1=1"
    And the owner plans
    And other records are committed and updates are sent
    Then the update for "a" limits "u1" to 1
    When the owner plans
    Then the plan contains no new changes while changes are uncommitted

  Scenario: Changes of demand move slots at most once a second
    Guards against grants that follow every fluctuation.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1 u2:8:z1"
    When the owner plans and commits
    And the demand of "a" is 40 slots
    Then the owner requests that "b" reduce its limits to "u1=1 u2=1"
    And the owner sends no further request within 0.9 s
    And the owner sends another request after 1.1 s

  Scenario: A holder that is gone keeps its slots during the quarantine
    Guards against new requests on slots whose earlier requests still run.
    Given members "a:z1 b:z1" and upstreams "u1:8:z1"
    When the owner plans and commits
    And "b" has been failed for 100 s
    And the owner plans and commits
    Then the grants are "u1 a=4 b=4"
    When "b" has been gone for 29 s
    And the owner plans and commits
    Then the grants are "u1 a=4 b=4"
    When "b" has been gone for 30 s
    And the owner plans and commits
    Then the grants are "u1 a=8"
