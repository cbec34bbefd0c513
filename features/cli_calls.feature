Feature: Failover of the command-line tool
  Retrying a call at the next entry instance must not run a request twice.

  Scenario Outline: A failed call is retried elsewhere only if this cannot run a request twice
    Given an entry instance that <fault> and a second one that responds
    When a request that is <kind> is sent with both addresses
    Then the exit status is <status> and the second instance received <count> calls

    Examples:
      | fault                                | kind           | status | count |
      | refuses connections                  | not idempotent | 0      | 1     |
      | closes the connection after the call | idempotent     | 0      | 1     |
      | closes the connection after the call | not idempotent | 8      | 0     |
      | responds that it is not ready        | not idempotent | 0      | 1     |
      | relays an upstream's not-ready       | not idempotent | 9      | 0     |
