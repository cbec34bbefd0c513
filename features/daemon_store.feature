Feature: Commits, claims and configuration in the table
  Responses of the table may be lost after their writes have taken effect, and instances compete for
  the same rows.

  Scenario: A commit whose response is lost resolves as a success
    Guards against applying a transaction twice, and against an owner that takes its own commit for
    that of another one.
    Given an in-memory table that loses the next commit response
    When owner one commits records to shard 0
    Then the commit succeeds with the head's version
    And the shard loads with 1 batch

  Scenario: A commit based on an outdated version is a conflict
    Guards against a previous owner that overwrites the commits of the new one.
    Given an in-memory table
    When owner one commits records to shard 0
    And owner two commits records to shard 0 with an outdated version
    Then the commit is a conflict
    And the shard loads with 1 batch

  Scenario: A commit during an outage is reported as delayed once and then succeeds
    Guards against a commit that is given up while the table is unavailable, and against a delay
    event for each retry.
    Given an in-memory table that is unavailable for 2.0 seconds
    When owner one commits records to shard 0
    Then the commit is delayed once and then succeeds

  Scenario: A compacted shard loads from its snapshot
    Guards against log rows that are applied twice or lost between the snapshot and the log.
    Given an in-memory table
    When shard 0 gets 120 commits, a snapshot of the first 118 and a deletion of the covered rows
    Then the shard loads with 2 batches and the snapshot of the first 118
    And no log row up to 118 is left

  Scenario: A large batch is stored and loaded unchanged
    Guards against records that are lost or reordered when a batch is encoded.
    Given an in-memory table
    When shard 0 gets a batch of 3000 records
    Then the shard loads with the same 3000 records

  Scenario Outline: At most one of several concurrent claims for an id succeeds
    Guards against running a non-idempotent request twice. The fault rates are the probabilities of
    lost requests, lost responses and rejected commits.
    Given an in-memory table with seed <seed> and fault rates <requests>, <responses>, <rejections>
    When 3 instances claim the same 120 ids at once
    Then each id is claimed by exactly one instance, or by none if the table was unavailable to one
    And no row remains held by an abandoned claim

    Examples:
      | seed | requests | responses | rejections |
      | 1    | 0.0      | 0.0       | 0.0        |
      | 2    | 0.0      | 0.3       | 0.0        |
      | 3    | 0.3      | 0.0       | 0.0        |
      | 4    | 0.2      | 0.3       | 0.2        |
      | 5    | 0.1      | 0.7       | 0.1        |

  Scenario: Concurrent claims are written in batches
    Guards against one commit for each claim.
    Given an in-memory table
    When 100 claims are made at once
    Then all are claimed with at most 2 commits

  Scenario: A resent request is answered from the stored outcome
    Guards against a second run of a request, and against answering a different request that uses
    the same id.
    Given an in-memory table
    When a request is claimed and its response recorded
    Then a second claim of it by another instance is recorded, with the response
    And a second claim with other content is different
    And the outcome can be found by request id

  Scenario: A request that is resent while it runs is found in progress
    Guards against a second run of a request whose outcome is not recorded yet.
    Given an in-memory table
    When a request is claimed
    Then a second claim of it by another instance is in-progress

  Scenario: A claim during an outage is abandoned and the table is not written later
    Guards against a row that blocks the id of a request that never ran.
    Given an in-memory table that rejects 1000 commit attempts as unavailable
    When a request is claimed
    Then the claim is unavailable within 1.5 s

  Scenario: A claim of a request that did not run can be released
    Guards against an id that stays in progress although its request never ran.
    Given an in-memory table
    When a request is claimed and released
    Then a second claim of it by another instance is claimed

  Scenario: One of two configuration changes for the same version is committed
    Guards against a change that overwrites another one silently.
    Given an in-memory table
    When two instances commit different changes for version 1 at once
    Then one is committed and the other is refused with version 1

  Scenario: A configuration change whose response is lost is committed
    Guards against refusing a change that the table has applied.
    Given an in-memory table that loses the next commit response
    When an instance commits a change for version 1
    Then the change is committed and read back by another instance

  Scenario: A configuration change during an outage is refused
    Guards against an operator who waits indefinitely or is told that the change is active.
    Given an in-memory table that rejects 1000 commit attempts as unavailable
    When an instance commits a change for version 1
    Then the change is refused because the store is unavailable

  Scenario: A start command marks only services as such
    Guards against a service that a worker ends after its declared run time.
    When start calls for a service task and a batch task are sent to a worker
    Then the service has a name, 8 slots and 64 connections and no run time
    And the batch task has its run time and parameters and 1.5 processors

  Scenario: A read that fails while outcomes are resolved loses none of them
    Guards against a greenlet that ends with the outcomes which it had still to write: the response
    to their write was lost, and the second of the reads that follow fails.
    Given an in-memory table
    When 3 requests are claimed
    And their responses are recorded while the response to the write and then read 2 are lost
    Then all 3 outcomes are reported as durable, once each
