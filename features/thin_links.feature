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

  Scenario: A table that takes longer than a call may wait is read as a whole
    Guards against parts of a table that share a link until the time limit ends all of them, so that an
    instance which begins to follow the table reads them again and again.
    Given a store with 16 parts of 200 KB, behind a link of 10 Mbit/s
    When the table is read
    Then all 16 parts are read within 6.0 seconds
    And the store did not count as unavailable meanwhile

  Scenario: A connection that goes silent in the middle of a response is given up
    Guards against a read that waits for the rest of a response without end.
    Given a store with 16 parts of 200 KB, behind a link of 10 Mbit/s
    When the link goes silent while the table is read
    Then the read fails within 2.5 seconds

  Scenario: A response that arrives too slowly is given up
    Guards against a call that is held for as long as single bytes arrive.
    Given a store with 16 parts of 200 KB, behind a link of 1 Mbit/s
    When a response may arrive for 1.0 seconds
    Then the read fails within 2.0 seconds

  Scenario: A response that is arriving is not abandoned after an outage
    Guards against a transfer that is thrown away because a later call is answered first.
    Given a store with 16 parts of 200 KB, behind a link of 1 Mbit/s
    When a part is read, and a small call 1.3 seconds later is answered before it
    Then the part is read as a whole
