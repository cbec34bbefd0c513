Feature: Failover of the command-line tool
  Retrying a call at the next entry instance must not run a request twice. Exit status 0 means that
  the request completed, 8 that its outcome is unknown and 9 that the upstream responded with an
  error.

  Scenario Outline: A failed call is retried at the next instance only if that cannot run the request twice
    Given an entry instance that <fault> and a second one that responds
    When a request that is <kind> is sent with both addresses
    Then the exit status is <status> and the second instance received <count> calls

    Examples:
      | fault                                               | kind           | status | count |
      | refuses connections                                 | not idempotent | 0      | 1     |
      | closes the connection after it receives the request | idempotent     | 0      | 1     |
      | closes the connection after it receives the request | not idempotent | 8      | 0     |
      | responds that it is not ready                       | not idempotent | 0      | 1     |
      | relays a not-ready response of an upstream          | not idempotent | 9      | 0     |
