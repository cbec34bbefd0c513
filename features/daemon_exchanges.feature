Feature: Exchanges with upstreams
  Every caller receives the complete response to its own request and never that of another caller.

  Scenario Outline: An invalid response is not delivered to any caller and its connection is closed
    Guards against callers that get a truncated response or the response to another request.
    Given a scripted TCP upstream
    When a request is dispatched and the upstream responds with: <fault>
    Then the dispatch fails with <failure> after it was sent, without a response
    And the next request gets its own response over a new connection

    Examples:
      | fault              | failure           |
      | short body         | truncated-answer  |
      | no response        | transport         |
      | partial head       | transport         |
      | no last chunk      | truncated-answer  |
      | no declared length | truncated-answer  |
      | not HTTP           | transport         |
      | two lengths        | transport         |
      | wrong id           | mismatched-answer |
      | two in one segment | transport         |

  Scenario: An unsolicited second response is not used for the next request
    Guards against a caller that gets the response to another request because a second response was
    left on a pooled connection.
    Given a scripted TCP upstream
    When a request is dispatched and the upstream responds with: late second response
    Then the dispatch completes
    And the next request gets its own response over a new connection

  Scenario: A late response frees the slot and is not delivered to any caller
    Guards against a slot that is freed while the upstream still processes the request, and against
    a response after the time-out was reported.
    Given a scripted TCP upstream
    When a request has a deadline in 0.05 s and its response arrives after 0.15 s
    Then the dispatch times out at its deadline and the upstream is released by the late response
    And the next request gets its own response

  Scenario: An upstream that never responds is released after the quarantine
    Guards against slots that are lost permanently because an upstream never responds.
    Given a scripted TCP upstream
    When a request has a deadline in 0.05 s and its response arrives after 5 s
    Then the dispatch times out at its deadline and the upstream is released by the quarantine
    And the next request gets its own response over a new connection

  Scenario: A pooled connection that the upstream has closed is not used
    Guards against requests that fail because they are sent over a closed connection.
    Given a scripted TCP upstream
    When a request is dispatched and the upstream responds with: valid response, then close
    Then the dispatch completes
    And the next request gets its own response over a new connection

  Scenario: A connection is reused for the next request
    Guards against the delay of a new connection for each request.
    Given a scripted TCP upstream
    When a request is dispatched and the upstream responds with: valid response
    Then the dispatch completes
    And the next request gets its own response over the same connection

  Scenario: A failed connection is reported as not sent
    Guards against an unknown outcome of a request that certainly was not run.
    Given a scripted TCP upstream that has stopped
    When a request is dispatched and the upstream responds with: valid response
    Then the dispatch fails with transport before anything was sent

  Scenario: Requests wait for a connection when all are in use
    Guards against more connections to an upstream than its limit.
    Given a scripted TCP upstream
    When 6 requests are dispatched at once over at most 2 connections
    Then each gets its own response and at most 2 connections were opened

  Scenario Outline: The reason of a worker is recognised in either spelling
    Guards against leases that expired and count as failures of their task.
    When a worker reports a stopped attempt with the reason "<reason>"
    Then the attempt's lease has expired

    Examples:
      | reason        |
      | lease-expired |
      | lease_expired |
