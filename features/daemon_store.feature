Feature: Commits, claims and configuration in the table
  Responses of the store may be lost after their writes have taken effect, and instances race for
  the same rows.

  Scenario: A commit whose answer is lost resolves as a success
    Given a table in memory that loses the next answer
    When shard 0 is committed by owner one
    Then the commit succeeds with the head's version
    And the shard loads with 1 batch

  Scenario: A commit that another owner has overtaken is a conflict
    Given a table in memory
    When shard 0 is committed by owner one
    And shard 0 is committed by owner two on an outdated version
    Then the commit is a conflict
    And the shard loads with 1 batch

  Scenario: A commit during an outage is reported as delayed once and then succeeds
    Given a table in memory that is down for 7 commits
    When shard 0 is committed by owner one
    Then the commit is delayed once and then succeeds

  Scenario: A compacted shard loads from its snapshot
    Given a table in memory
    When shard 0 gets 120 commits, a snapshot after 118 and its old rows deleted
    Then the shard loads with 2 batches and the snapshot of 118
    And no log row up to 118 is left

  Scenario: Large batches survive the log
    Given a table in memory
    When shard 0 gets a batch of 3000 records
    Then the shard loads with the same 3000 records

  Scenario Outline: Of racing claims for one id exactly one wins
    Guards against running a non-idempotent request twice.
    Given a table in memory with seed <seed>, <requests> requests and <answers> answers lost and <refusals> refused
    When 3 instances claim the same 120 ids at once
    Then each id is claimed by exactly one, or by none if all were told that the store is unavailable
    And no row stays claimed by a claim that was given up

    Examples:
      | seed | requests | answers | refusals |
      | 1    | 0.0      | 0.0     | 0.0      |
      | 2    | 0.0      | 0.3     | 0.0      |
      | 3    | 0.3      | 0.0     | 0.0      |
      | 4    | 0.2      | 0.3     | 0.2      |
      | 5    | 0.1      | 0.7     | 0.1      |

  Scenario: Claims are written in groups
    Given a table in memory
    When 100 claims are made at once
    Then all are claimed with at most 2 commits

  Scenario: A second send is answered from the row
    Given a table in memory
    When a request is claimed and its answer recorded
    Then a second claim of it by another instance is recorded, with the answer
    And a second claim with other content is different
    And the outcome can be found by request id

  Scenario: A second send finds a request in progress
    Given a table in memory
    When a request is claimed
    Then a second claim of it by another instance is in-progress

  Scenario: A claim during an outage is given up, and the store is not written later
    Given a table in memory that is down for 1000 commits
    When a request is claimed
    Then the claim is unavailable within 1.5 s

  Scenario: A claim of a request that did not run can be released
    Given a table in memory
    When a request is claimed and released
    Then a second claim of it by another instance is claimed

  Scenario: Of two configuration changes for one version one wins
    Given a table in memory
    When two instances commit different changes for version 1 at once
    Then one is committed and the other is refused with version 1

  Scenario: A configuration change whose answer is lost is committed
    Given a table in memory that loses the next answer
    When an instance commits a change for version 1
    Then the change is committed and read back by another instance

  Scenario: A configuration change during an outage is refused
    Given a table in memory that is down for 1000 commits
    When an instance commits a change for version 1
    Then the change is refused because the store is unavailable

  Scenario: A start tells the worker what is a service and what is not
    Guards against a service that a worker ends after its declared run time.
    When the start of a service and of a batch task are sent to a worker
    Then the service has a name, 8 slots and 64 connections and no run time
    And the batch task has its run time and parameters and 1.5 processors
