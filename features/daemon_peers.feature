Feature: Communication between entry instances
  Peers exchange heartbeats, configuration and forwarded requests over pooled connections.

  Scenario: Instances discover each other through one seed
    Guards against an instance that knows only those that are in its own settings.
    Given 3 running instances with the first one as seed
    Then each instance reports the 2 others as alive within 2 s

  Scenario: A restarted instance is discovered by peers that sent it abbreviated heartbeats
    Guards against abbreviated heartbeats that refer to one which the receiver has never received.
    Given 3 running instances with the first one as seed
    And each instance reports the 2 others as alive within 2 s
    When the last instance stops and another one starts at its address
    Then the first instance reports it as alive, and it reports the 2 others as alive, within 3 s

  Scenario: The configuration of one instance reaches the others
    Guards against an instance that keeps an old configuration while the table is unavailable.
    Given 2 running instances with the first one as seed
    And each instance reports the 1 others as alive within 2 s
    When the first instance receives 3 configuration changes
    Then the other instances have version 3 within 1 s

  Scenario: A forwarded request is served by the upstream of a peer
    Guards against a response that belongs to another request, and against forwarding without a
    sender, which would allow a second hop.
    Given a scripted TCP upstream
    And 2 running instances, the second of which forwards to the first
    When a request is sent to the last instance
    Then its response is the upstream's response to its own request id
    And the first instance records the second as the sender

  Scenario: A forwarded request with an invalid response has an unknown outcome
    Guards against reporting a request as not run, or delivering a truncated response, when the
    upstream of the peer sends an invalid one.
    Given a scripted TCP upstream
    And 2 running instances, the second of which forwards to the first
    When a request is sent to the last instance and the upstream responds with: short body
    Then its outcome is unknown with status 504

  Scenario: A request forwarded to an unreachable peer is reported as not run
    Guards against an unknown outcome although no byte of the request was sent.
    Given 1 running instance that forwards to an address without a listener
    When a request is sent to the last instance
    Then its outcome is not-run with status 503

  Scenario: A message without the peers' credential is rejected
    Guards against callers that reach the port of the peers.
    Given 1 running instances with the first one as seed
    When a heartbeat without credential arrives
    Then it is refused as unauthenticated

  Scenario: A draining instance finishes a request in flight and accepts no new connection
    Guards against lost requests during planned shutdowns.
    Given a scripted TCP upstream
    And 1 running instance that dispatches to it
    When its listener is closed while a request is in flight
    Then the request is answered, its connection closed, and no new connection is accepted

  Scenario Outline: Only errors that precede a peer's core show that a request has not run
    Guards against callers that are told that their request has not run, and send it again, although
    a peer may have run it before it answered with an error.
    When a peer answers a forwarded request with status <status>
    Then the request counts as <result>

    Examples:
      | status | result      |
      | 302    | maybe run   |
      | 400    | not run     |
      | 401    | not run     |
      | 409    | maybe run   |
      | 413    | not run     |
      | 429    | maybe run   |
      | 500    | maybe run   |
