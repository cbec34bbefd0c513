Feature: Large configurations on thin links
  A version of the configuration takes over half a second on a link of 5 Mbit/s. It is in force there
  in time, however many follow one another, and nothing that instances do about a late one takes the
  bandwidth that it needs.

  Scenario: Large versions in series are in force in time and are transferred once
    Guards against calls beside the one that is receiving a version: they share its link, so that none
    of them is done before its time limit, and all of them begin again with the next version.
    Given 4 entry instances, of which all but the first have links of 5 Mbit/s
    When 12 versions with 1400 queues more are written, 1.13 seconds apart
    Then each of them is in force at every instance within 2.0 seconds
    And the store has sent no instance more than 14 copies of them

  Scenario: A version that takes longer than a silent connection is waited for arrives
    Guards against a time limit for the whole transfer, which ends one that is under way.
    Given 2 entry instances, of which all but the first have links of 1 Mbit/s
    When 1 version with 1400 queues more is written
    Then each of them is in force at every instance within 6.0 seconds
    And the store has sent no instance more than 2 copies of them
