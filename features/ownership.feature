Feature: Taking over the ownership of the queues
  Every instance decides from what it has read, independently of the others, when to claim
  ownership.

  Scenario: The fittest instance claims ownership first
    Guards against delays of all work because an instance with a slow link became the owner.
    Given instances with these resources
      | name      | processors | link (Mbit/s) |
      | small     | 0.5        | 100           |
      | slow-link | 2.1        | 5             |
      | large     | 2.1        | 100           |
    And their owner has resigned
    Then "large" claims ownership before "small"
    And "small" claims ownership before "slow-link"

  Scenario: An owner without heartbeat is replaced only while the store responds
    Guards against takeovers caused by an outage of the store, in which no heartbeat can be read.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 3.0 seconds while the store responds
    Then the instance claims ownership
    When the store is unavailable for 5.0 seconds and available again for 0.5 seconds
    Then the instance does not claim ownership
    When the owner's heartbeat does not advance for 3.0 seconds while the store responds
    Then the instance claims ownership

  Scenario: Pings that time out shorten the wait for an owner without heartbeat
    Guards against unnecessary seconds without an owner after its machine is lost.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 1.6 seconds while the store responds
    Then the instance does not claim ownership
    When 2 pings to the owner time out
    Then the instance claims ownership

  Scenario: An owner that refuses connections is replaced before the heartbeat time-out
    Guards against unnecessary seconds without an owner after its process was killed.
    Given an instance that knows an owner
    When 2 connections to the owner are refused
    Then the instance claims ownership

  Scenario: A predecessor's heartbeat does not count for the current owner
    Guards against a late takeover: the last write of a suspended owner hides that its successor
    sends no heartbeat.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 2.0 seconds while the store responds
    And a heartbeat of the owner's predecessor arrives
    And another 0.5 seconds pass for the instance
    Then the instance claims ownership

  Scenario: A restart at the same address shows that the owner process has ended
    Guards against work that waits for an owner whose process has ended. Also guards against
    concluding that a process has ended when its instance restarts at another address: the old
    process may still run behind a network partition.
    Given an instance that knows an owner
    When the owner's process writes its member row again
    Then the instance does not conclude that the owner process has ended
    When another process writes its member row at the owner's name and another address
    Then the instance does not conclude that the owner process has ended
    When another process writes its member row at the owner's name and address
    Then the instance concludes that the owner process has ended
    When another 0.1 seconds pass for the instance
    Then the instance claims ownership

  Scenario: An instance with few resources lets instances that are still starting claim first
    Guards against an owner with a slow link after all instances were restarted.
    Given an instance with few resources that knows no fitter one and whose owner has ended
    When 0.9 seconds have passed since it read the owner row
    Then the instance does not claim ownership
    When 1.1 seconds have passed since it read the owner row
    Then the instance claims ownership
