Feature: Entry instances among each other
  Peers exchange heartbeats, configuration and forwarded requests over pooled connections.

  Scenario: Instances find each other from one seed
    Given 3 running instances that know only the first one
    Then each sees the 2 others alive within 2 s

  Scenario: A restarted instance is found again by those that sent it short heartbeats
    Guards against short heartbeats that refer to one which the receiver has never got.
    Given 3 running instances that know only the first one
    And each sees the 2 others alive within 2 s
    When the last one stops and another starts at its address
    Then the first one sees it alive, and it sees the 2 others, within 3 s

  Scenario: A configuration that one instance has reaches the others
    Guards against an instance that stays behind when the table is down.
    Given 2 running instances that know only the first one
    And each sees the 1 others alive within 2 s
    When the first one gets 3 configuration changes
    Then the others have version 3 within 1 s

  Scenario: A forwarded request is answered by the upstream of a peer
    Given an upstream on a raw socket
    And 2 running instances, the second of which forwards to the first
    When a request is sent to the second one
    Then it is answered with the upstream's answer to its own request id
    And the first one counts the second as the sender

  Scenario: A forwarded request whose answer is broken has an unknown outcome
    Given an upstream on a raw socket
    And 2 running instances, the second of which forwards to the first
    When the upstream's answer is short body and a request is sent to the second one
    Then its outcome is unknown with status 504

  Scenario: A request forwarded to a dead peer was certainly not run
    Given 1 running instance that forwards to an address where nobody listens
    When a request is sent to the second one
    Then its outcome is not-run with status 503

  Scenario: A message without the peers' credential is refused
    Guards against callers that reach the port of the peers.
    Given 1 running instances that know only the first one
    When a heartbeat without credential arrives
    Then it is refused as unauthenticated

  Scenario: A drained instance finishes a request in flight and takes no new connection
    Given an upstream on a raw socket
    And 1 running instance that dispatches to it
    When its listener is closed while a request is in flight
    Then the request is answered, its connection closed, and no new connection is accepted
