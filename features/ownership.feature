Feature: Taking over the ownership of the queues
  Every instance decides by itself, from what it has read, when to claim the ownership.

  Scenario: The strongest instance claims first
    Guards against an owner on a thin link, which all work waits for.
    Given instances of these strengths
      | name   | processors | link |
      | small  | 0.5        | 100  |
      | thin   | 2.1        | 5    |
      | strong | 2.1        | 100  |
    And their owner has resigned
    Then "strong" would claim before "small"
    And "small" would claim before "thin"

  Scenario: A silent owner is replaced only while the store answers
    Guards against takeovers that the store's own outage causes.
    Given an instance that knows an owner
    When the heartbeat stands still for 3.0 seconds while the store answers
    Then the instance claims
    When the store is away for 5.0 seconds and back for 0.5 seconds
    Then the instance does not claim
    When the heartbeat stands still for 3.0 seconds while the store answers
    Then the instance claims

  Scenario: Pings that time out shorten the wait for a silent owner
    Guards against seconds without an owner after a machine is lost.
    Given an instance that knows an owner
    When the heartbeat stands still for 1.6 seconds while the store answers
    Then the instance does not claim
    When 2 pings to the owner time out
    Then the instance claims

  Scenario: An owner whose process has ended is replaced at once
    Guards against seconds without an owner after a kill.
    Given an instance that knows an owner
    When 2 connections to the owner are refused
    Then the instance claims

  Scenario: A former owner's heartbeat is no sign of life of the present one
    Guards against a frozen owner's last write that hides its successor's silence.
    Given an instance that knows an owner
    When the heartbeat stands still for 2.0 seconds while the store answers
    And a heartbeat of a former owner arrives
    And 0.5 seconds more go by
    Then the instance claims

  Scenario: A restarted owner is known to have ended
    Guards against work that waits for a former owner which is gone, and against taking an owner
    that was replaced at another address, and may run on behind a cut, for one that has ended.
    Given an instance that knows an owner
    When the owner's process writes its row again
    Then the owner is not known to have ended
    When another process writes its row at the owner's name and another address
    Then the owner is not known to have ended
    When another process writes its row at the owner's name and address
    Then the owner is known to have ended
    When 0.1 seconds more go by
    Then the instance claims

  Scenario: A weak instance leaves time to strong ones that are still starting
    Guards against an owner on a thin link after all instances were restarted.
    Given a weak instance that is the only one to know that its owner has ended
    When 0.9 seconds have passed since
    Then the instance does not claim
    When 1.1 seconds have passed since
    Then the instance claims
