Feature: Stand-ins for the platform
  Other tests rely on the stand-ins. These scenarios guard against stand-ins that accept requests
  that the platform refuses, or that fail to record violations.

  Background:
    Given a platform of stand-ins

  Scenario: A conflicting transaction changes nothing
    When a transaction puts "shard/1/head" to "mine" at version 0
    Then the store answers 200
    When a transaction puts "shard/1/head,shard/1/log/1" to "theirs" at version 0
    Then the store answers 409
    And the row "shard/1/head" holds "mine"
    And the row "shard/1/log/1" is absent

  Scenario: A transaction whose answer is lost is applied, and its retry conflicts
    Given the fault "lose_answer" on "table" for "commit"
    When a transaction puts "shard/1/head" to "mine" at version 0
    Then no answer arrives
    And the row "shard/1/head" holds "mine"
    When a transaction puts "shard/1/head" to "mine" at version 0
    Then the store answers 409

  Scenario: A store that is down applies nothing
    Given the fault "down" on "table" for "commit"
    When a transaction puts "config/head" to "mine" at version 0
    Then the store answers 503
    And the row "config/head" is absent

  Scenario: Writes above the rate limit are refused and not applied
    Given the table is limited to 1 write per second
    When a transaction puts "config/head" to "first" at version 0
    And a transaction puts "config/head" to "second" without a version check
    Then the store answers 429
    And the row "config/head" holds "first"

  Scenario: A task stops when its lease expires without renewal
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 0.3 s
    Then the start of "a1" is "running"
    And within 0.5 s attempt "a1" on "w-01" is "stopped"
    And the ledger shows that "a1" ran for 0.3 s

  Scenario: A renewed task completes after the expiry of its first lease
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 0.3 s
    And the lease of "a1" on "w-01" is renewed for 5 s
    Then within 1.5 s attempt "a1" on "w-01" is "done"
    And the ledger shows that "a1" ran for 0.6 s

  Scenario: A start is refused after the expiry of its lease and stays refused
    When attempt "a1" of task "t1" starts on "w-01" with a lease of -0.1 s
    Then the start of "a1" is "refused"
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    Then the start of "a1" is "refused"

  Scenario: A start that a frozen worker processes after the expiry of its lease is refused
    Given worker "w-01" is frozen for 0.4 s
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 0.2 s
    Then the start of "a1" is "refused"

  Scenario: A stop prevents a later start of its attempt
    When attempt "a1" on "w-01" is stopped
    And attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    Then the start of "a1" is "stopped"

  Scenario: A start repeated after a lost answer runs once
    Given the fault "lose_answer" on "w-01" for "start"
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    Then no answer arrives
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    Then the start of "a1" is "running"
    And the ledger counts 1 of "starts"

  Scenario: The ledger records overlapping attempts of a task
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    And attempt "a2" of task "t1" starts on "w-02" with a lease of 5 s
    Then the ledger lists 1 of "overlaps"

  Scenario: Consecutive attempts do not overlap
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    And attempt "a1" on "w-01" is stopped
    And attempt "a2" of task "t1" starts on "w-02" with a lease of 5 s
    Then the ledger lists 0 of "overlaps"

  Scenario: Two tasks of 20 processors on a worker with 32 are recorded as over-commit
    When attempt "a1" of task "t1" starts on "w-01" with a lease of 5 s
    Then the ledger lists 0 of "overcommit"
    When attempt "a2" of task "t2" starts on "w-01" with a lease of 5 s
    Then the ledger lists 1 of "overcommit"

  Scenario Outline: The ledger records over-commit of slots, with and without streaming
    Given an upstream with 2 slots on "w-01"
    When <requests> requests run at once with headers "<headers>"
    Then the ledger lists <excess> of "overcommit"

    Examples:
      | requests | headers                           | excess |
      | 2        | x-service-ms=100                  | 0      |
      | 3        | x-service-ms=100                  | 1      |
      | 3        | x-response-chunks=4&x-chunk-ms=30 | 1      |

  Scenario: A leaving upstream executes no request
    Given an upstream with 8 slots on "w-01"
    And worker "w-01" is leaving
    When a request is sent to the upstream
    Then the upstream answers 503 with "lavenderhook-not-run" and "lavenderhook-leaving"
    And the ledger counts 0 of "executions"

  Scenario: A truncated body is shorter than its Content-Length
    Given an upstream with 8 slots on "w-01"
    And the fault "truncate" on "w-01" for "service"
    When a request is sent to the upstream
    Then no answer arrives
    And the ledger counts 1 of "executions"

  Scenario: A network partition affects only the named clients
    Given client "e-1" is partitioned from "w-01"
    When client "e-1" lists the tasks of "w-01"
    Then no answer arrives
    When client "e-2" lists the tasks of "w-01"
    Then an answer arrives

  Scenario: A change becomes visible in the instance list only after the lag
    Given the list lags by 0.3 s
    When instance "e-1" registers
    Then instance "e-1" is not in the list
    And within 0.6 s instance "e-1" is in the list

  Scenario: A request occupies its slot while its body is in transit
    Given an upstream with 1 slots on "w-01"
    When a request is open with an incomplete body
    And a request is sent to the upstream
    Then the ledger lists 1 of "overcommit"
    And the ledger counts 1 of "executions"

  Scenario: The command of the stand-ins prints all addresses and exits on SIGTERM
    When the stand-ins of deployment "ajala" run as a process
    Then the process printed the addresses of 24 workers and 4 other listeners
    And the process ends with 0 on SIGTERM

  Scenario: A fault that could never apply is refused
    When the fault "lose_answer" is put on "table" for "comit"
    Then the control endpoint answers 400

  Scenario: Responses do not wait for delayed TCP acknowledgements
    Given an upstream with 8 slots on "w-01"
    When 20 requests are sent one after the other on one connection
    Then the median time is under 20 ms
