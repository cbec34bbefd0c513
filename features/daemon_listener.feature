Feature: The listener of the daemon
  Clients that send too much, too slowly or invalid bytes get a typed error, and their requests
  never reach the core.

  Scenario Outline: A malformed, oversized or slow request is rejected by its type of error
    Guards against clients that occupy memory or connections, and against proxies that interpret the
    same bytes as different requests.
    Given a running instance whose core answers every request
    When a raw TCP client sends <bytes>
    Then its connection is closed after status <status> with error <code>
    And no request has arrived at the core

    Examples:
      | bytes                           | status | code              |
      | a body above the limit          | 413    | payload-too-large |
      | a chunked body above the limit  | 413    | payload-too-large |
      | headers above the limit         | 413    | payload-too-large |
      | a request line above the limit  | 413    | payload-too-large |
      | a request line of two words     | 400    | protocol          |
      | a header without a colon        | 400    | protocol          |
      | a control byte in the target    | 400    | protocol          |
      | a length of 30 digits           | 413    | payload-too-large |
      | a space before a colon          | 400    | protocol          |
      | a folded header                 | 400    | protocol          |
      | two lengths                     | 400    | protocol          |
      | a length and chunks             | 400    | protocol          |
      | a negative length               | 400    | protocol          |
      | a body that ends early          | 400    | protocol          |
      | a malformed chunk               | 400    | protocol          |
      | a head that never ends          | 408    | request-timeout   |
      | a head in slow single bytes     | 408    | request-timeout   |
      | a body that never ends          | 408    | request-timeout   |
      | a body that never begins        | 408    | request-timeout   |

  Scenario Outline: An invalid header is rejected by its type of error
    Guards against requests that run with other options or for another caller than the sender meant.
    Given a running instance whose core answers every request
    When a request has the header <header>
    Then it gets status <status> with error <code>
    And no request has arrived at the core

    Examples:
      | header                           | status | code              |
      | lavenderhook-deadline-ms: 0      | 400    | invalid-argument  |
      | lavenderhook-deadline-ms: 999999 | 400    | invalid-argument  |
      | lavenderhook-class: high         | 400    | invalid-argument  |
      | lavenderhook-idempotent: maybe   | 400    | invalid-argument  |
      | lavenderhook-labels: a=1,a=2     | 400    | invalid-argument  |
      | lavenderhook-labels: A=1         | 400    | invalid-argument  |
      | authorization: Bearer wrong-one  | 401    | unauthenticated   |
      | lavenderhook-caller: atlas       | 403    | permission-denied |

  Scenario: Small exchanges do not wait for delayed acknowledgements
    Guards against Nagle's algorithm, which delays a message that is sent in two parts by 40 ms.
    Given a running instance whose core answers every request
    When 20 requests are sent one after another in two parts each
    Then TCP_NODELAY is set on both sides and the median exchange takes less than 20 ms

  Scenario: A caller that closes its connection is reported to the core once
    Guards against a request that is processed further without a caller, or is abandoned twice.
    Given a running instance whose core answers no request
    When a caller sends a request and closes its connection
    Then the core receives exactly one RequestAbandoned event

  Scenario: A request that the core never answers has an unknown outcome
    Guards against callers that wait indefinitely because of a fault in the core.
    Given a running instance whose core answers no request
    When a request has a deadline of 100 ms
    Then it gets status 504 with the outcome unknown within 3 s

  Scenario: An exception in the reducer fails only the call that caused it
    Guards against one faulty request that stops the instance.
    Given a running instance whose core fails at every request
    When a request is sent
    Then it gets status 500 with error internal
    And the instance still answers health checks

  Scenario: A blocked log stream does not delay decisions
    Guards against a reader of the log that stops reading.
    Given a log writer whose stream blocks
    When 100 lines are added
    Then adding them takes less than 0.5 s

  Scenario: No connection is established while the listener closes
    Guards against connections that are reset with a request in them: established after the last
    accept, and closed with the listener.
    Given a running instance whose core answers every request
    When it drains, and a caller connects between the last accept and the close
    Then the caller's connection is not established
    And a connection from before is answered
