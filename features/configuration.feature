Feature: Changes of the configuration
  A change that the operator's write has confirmed is in force at every instance in time: within 2 s
  (configApplyMs), and within 5 s more (maxExtensionMs) while the store serves only some of the
  instances. An instance that can't know whether a queue exists doesn't deny it.

  Scenario Outline: Instances that the store turns away get a new configuration from their peers
    Guards against instances that answer by an old configuration for as long as the store turns them
    away, although they reach peers that have the new one.
    Given 4 entry instances and 1 queue workers
    When the owner has reached every worker
    And the store's mode towards instances 1 and 2 becomes <mode>
    And 1.0 seconds of real time pass
    And version 2 of the configuration adds "/more/"
    Then every instance answers submissions to "/more/" with 200 within 7.0 seconds
    When version 5 of the configuration adds "/other/"
    Then every instance answers submissions to "/other/" with 200 within 7.0 seconds
    And every instance answers submissions to "/more/" with 404 within 7.0 seconds

    Examples:
      | mode   |
      | busy   |
      | silent |

  Scenario: An instance that can't confirm its configuration doesn't deny a queue
    Guards against a 404 for a queue that exists, from an instance that has reached neither the store
    nor a peer for longer than a change takes to be in force.
    Given 1 entry instances and 1 queue workers
    When the owner has reached every worker
    And the store's mode is busy
    And 3.5 seconds of real time pass
    Then a GET of "/more/00000000000000a4" is refused with 503 and a Retry-After
    When the store's mode is up
    Then every instance answers a GET of "/more/00000000000000a4" with 404 within 2.0 seconds

  Scenario: An instance without a configuration denies no queue
    Guards against a 404 for a queue from an instance that has read that there is no configuration yet.
    Given 1 entry instances and 1 queue workers
    When the owner has reached every worker
    And the configuration is deleted and the instance is killed and started again
    Then a GET of "/jobs/00000000000000a4" is refused with 503 and a Retry-After
    When version 7 of the configuration adds "/more/"
    Then every instance answers a GET of "/more/00000000000000a4" with 410 within 2.0 seconds

  Scenario Outline: A route that can't be decoded leaves the others in force
    Guards against a version of which nothing is in force because one of its routes has an unusual
    field, and against a 404 for that route.
    Given 2 entry instances and 1 queue workers
    When version 2 adds "/more/" and a route "/odd/" whose <field> is <value>
    Then every instance answers a GET of "/more/00000000000000a4" with 410 within 2.0 seconds
    And a GET of "/odd/00000000000000a4" is refused with 503 and a Retry-After
    And a GET of "/nowhere/00000000000000a4" is answered with 404
    When version 3 of the configuration adds "/odd/"
    Then every instance answers a GET of "/odd/00000000000000a4" with 410 within 2.0 seconds

    Examples:
      | field       | value             |
      | maxAttempts | "two"             |
      | advice      | [1]               |
      | priority    | 1e400             |

  Scenario Outline: A version that can't be decoded denies no queue
    Guards against a 404 for a queue that the version adds, and against known queues that are refused
    because of it.
    Given 2 entry instances and 1 queue workers
    When version 2 of the configuration is <content>
    And 1.0 seconds of real time pass
    Then a GET of "/jobs/00000000000000a4" is answered with 410
    And a GET of "/more/00000000000000a4" is refused with 503 and a Retry-After
    When version 3 of the configuration adds "/more/"
    Then every instance answers a GET of "/more/00000000000000a4" with 410 within 2.0 seconds
    And a GET of "/nowhere/00000000000000a4" is answered with 404

    Examples:
      | content        |
      | not JSON       |
      | deeply nested  |
      | without routes |

  Scenario: A new configuration reaches instances over several hops
    Guards against instances that only help peers to what they have read from the store themselves.
    Given followers a, b, c, d that each reach their neighbours only
    When only d reaches the store
    And 3.0 seconds of real time pass
    And the operator writes version 2
    Then all followers have version 2 within 2.0 seconds
    And the confirmation of b stays younger than 2.0 seconds

  Scenario: Instances that are turned away together don't confirm each other
    Guards against two instances that each take the other's old version for the newest.
    Given followers a, b, c, d that each reach their neighbours only
    When only d reaches the store
    And the link between b and c is cut
    And 3.5 seconds of real time pass
    Then the confirmations of a and b are older than 2.0 seconds
    And the confirmation of c stays younger than 2.0 seconds

  Scenario Outline: A peer without a usable newer configuration is passed over
    Guards against an instance that gives up its configuration, or stops asking the others, because
    of one peer.
    Given followers a, b, c that all reach each other
    When b is <kind>
    And only c reaches the store
    And 2.0 seconds of real time pass
    And the operator writes version 2
    Then follower a has version 2 within 4.0 seconds
    And follower a has logged "<line>"

    Examples:
      | kind                          | line                      |
      | a peer of an older build      | configuration-unanswered  |
      | a peer that has just started  | configuration-applied     |
      | a peer with malformed content | configuration-not-fetched |
      | a peer with too much content  | configuration-not-fetched |
      | a peer with bad compression   | configuration-not-fetched |
      | a peer with cut compression   | configuration-not-fetched |
      | a peer that expands too much  | configuration-not-fetched |
      | a peer that sends an old one  | configuration-not-fetched |

  Scenario: An instance of an earlier build gets the configuration from a peer
    Guards against compressed content for an instance that does not decode it.
    Given followers a, b, c that all reach each other
    When a decodes plain content only
    And only c reaches the store
    And the operator writes version 2
    Then follower a has version 2 within 4.0 seconds

  Scenario: Peers are asked rarely
    Guards against calls to peers while the store answers, and against a load that grows in an outage
    of the whole store.
    Given followers a, b, c that all reach each other
    When 1.0 seconds of real time pass
    Then each follower has called peers at most 2 times
    When 3.0 seconds of real time pass
    Then each follower has called peers at most 2 times
    When no follower reaches the store
    And 6.0 seconds of real time pass
    Then each follower has called peers at most 20 times

  Scenario: A change in the gap of a lost history is found
    Guards against a stale read that is taken for the newest version, with a revision that is newer
    than its rows, so that the watch goes on behind the change.
    Given followers a, b, c that all reach each other
    When the store loses its history while version 2 is written, and reads are stale for 3.0 seconds
    Then all followers have version 2 within 6.0 seconds
    And no follower denied a queue before it had version 2

  Scenario: An instance that starts with a stale read takes the newest version from a peer
    Guards against a restarted instance that answers by a version which had been replaced before it
    started, until the next change.
    Given followers a, b, c that all reach each other
    When the operator writes version 2
    And 0.5 seconds of real time pass
    And a is started again while its reads are stale with version 1
    Then follower a has version 2 within 2.0 seconds

  Scenario: A lost response to the watch does not hide a change
    Guards against a change that waits for the time-out of a watch whose connection has gone silent.
    Given followers a, b, c that all reach each other
    When no watch is answered any longer
    And the operator writes version 2
    Then all followers have version 2 within 2.0 seconds

  Scenario: A version that is read beside a silent watch is not received twice
    Guards against a watch that begins while the read in its place is receiving, and receives the same
    version on the same link.
    Given followers a, b, c that all reach each other
    When the watch of a goes silent while version 2 is written, which takes 1.5 seconds to arrive
    Then follower a has version 2 within 4.0 seconds
    And the store has sent version 2 to a once

  Scenario: Random outages never let an instance deny a queue of the newest version
    Guards against any order of turned-away instances, cut links, lost watches, stale reads and changes
    in which an instance denies a queue more than 2 s after the change that added it, goes back to an
    older version, or misses the newest one.
    When 40 networks have random outages for 12 seconds
    Then no check failed in any of them
