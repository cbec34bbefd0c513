Feature: Availability zones that are cut off

  Entry instances as real processes. A cut is silent: no packet passes between the two sides, and
  only one of them reaches the store.

  Scenario Outline: A zone that is cut off with the owner runs nothing twice
    Guards against an owner that takes contact with peers in its own zone as proof that it has not
    been replaced: its leases outlast its successor's wait, and what ended outside starts again.
    Given 5 entry instances and 12 queue workers in two zones
    When the zone of the owner and <others> other instances is cut off <times> times for 10.0 seconds under load
    Then all accepted submissions become "completed" within 40 seconds
    And the stand-ins saw no violation

    Examples:
      | others | times |
      | 1      | 2     |
      | 2      | 1     |
