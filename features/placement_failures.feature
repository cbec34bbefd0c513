Feature: Placement under failures
  Under any failure no task runs twice, no worker is allocated more than it has and nothing durable
  is lost.

  Background:
    Given a simulated cluster with 2 entry instances and 3 workers of 4 processors
    And a shard owner

  Scenario: A paused owner cannot commit after a takeover
    Guards against two owners that allocate the resources of the same workers: the paused owner
    still regards itself as the owner when it resumes.
    When job "early" with 4 tasks is submitted
    And 2 seconds pass
    And the owner is paused
    And another instance takes over the shard
    And job "late" with 8 tasks is submitted to the paused owner
    And the paused owner resumes
    And 4 seconds pass
    Then the last operation is refused with "outcome-unknown"
    And the committed state does not contain job "late"
    And the previous owner does not own the shard
    And 4 tasks of "early" run
    And workers have started 4 attempts in total

  Scenario: A commit whose response is lost is not decided again
    Guards against duplicate tasks: the table has applied the commit, and the owner retries it.
    Given the responses to the next 2 commits are lost
    When job "certificates" with 4 tasks is submitted
    And 5 seconds pass
    Then the submissions are answered as new
    And 4 tasks of "certificates" run
    And workers have started 4 attempts in total

  Scenario: Start calls that a paused owner sends late run no task twice
    Guards against a task that runs on two workers: the process pauses before it sends the calls and
    a new owner places the tasks again.
    Given the owner's start calls are delayed
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner is paused
    And another instance takes over the shard
    And 2 seconds pass
    And the delayed start calls are sent
    And 10 seconds pass
    Then 4 tasks of "certificates" run
    And no task ran on two workers at any time

  Scenario Outline: A worker whose entry in the platform's list can't be read is not gone
    Guards against a task that runs on two workers: what is left out of the list because it can't be
    decoded looked like a worker that is gone, to its owner and to the next one.
    When job "certificates" with 4 tasks is submitted
    And 2 seconds pass
    And the entry of a worker with tasks in the platform's list can't be read
    And <change>
    And 20 seconds pass
    Then no task ran on two workers at any time
    And 4 tasks of "certificates" run
    And workers have started 4 attempts in total

    Examples:
      | change                               |
      | 1 second passes                      |
      | the owner process is killed          |

  Scenario: A list that arrives late doesn't show a worker as gone
    Guards against a task that runs on two workers: the list was requested before the worker was
    known, and waited while the process was paused.
    When a worker and an instance join and are listed
    And job "certificates" with 16 tasks is submitted
    And 12 seconds pass
    And the owner gets a list from before they joined, requested 13 seconds ago
    And 3 seconds pass
    Then no task ran on two workers at any time
    And workers have started 16 attempts in total

  Scenario: A list that lags doesn't show an instance as gone that has just joined
    Guards against slots that are granted to another instance while this one uses them.
    When a worker and an instance join and are listed
    And the owner gets a list from before they joined, requested 0 seconds ago
    Then the instance that has joined is not gone

  Scenario: An unanswered start is repeated only after its lease has expired
    Guards against a task that runs on two workers: the worker has started it, but its report does
    not reach the owner. The lease of a start lasts 5 s.
    Given the owner receives no reports from workers
    When job "certificates" with 4 tasks is submitted
    And 4.5 seconds pass
    Then workers have started 4 attempts in total
    And 4 seconds pass
    And workers have started 8 attempts in total
    And no task ran on two workers at any time

  Scenario: A takeover keeps placed attempts that already run
    Guards against starting them again: the previous owner received no report, so that the committed
    records have them only as placed.
    Given the owner receives no reports from workers
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner process is killed
    And another instance takes over the shard
    And 10 seconds pass
    Then 4 tasks of "certificates" run
    And workers have started 4 attempts in total

  Scenario: A takeover places attempts again that never started
    Guards against lost tasks, and against a second start before the leases of the first have
    expired: the previous owner was killed before it sent the start calls.
    Given the owner's start calls are delayed
    When job "certificates" with 4 tasks is submitted
    And 1 second passes
    And the owner process is killed
    And another instance takes over the shard
    Then no task starts until the leases of the earlier starts have expired
    And 10 seconds pass
    And 4 tasks of "certificates" run

  Scenario: A takeover renews the leases of running attempts
    Guards against running tasks that stop because the new owner lets their leases expire.
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And the owner process is killed
    And another instance takes over the shard
    And 40 seconds pass
    Then 4 tasks of "certificates" run
    And workers have started 4 attempts in total

  Scenario: A worker is removed
    Guards against tasks that wait indefinitely for a worker that no longer exists.
    When job "certificates" with 4 tasks is submitted
    And 10 seconds pass
    And a worker with tasks is removed
    And 8 seconds pass
    Then 4 tasks of "certificates" run

  Scenario: The tasks of a partitioned worker start elsewhere after their leases have expired
    Guards against a task that runs on two workers: the tasks of an unreachable worker run until
    their leases expire.
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And a worker with tasks becomes unreachable
    And 40 seconds pass
    Then 4 tasks of "certificates" run
    And no task ran on two workers at any time

  Scenario: A worker is partitioned during a takeover
    Guards against a task that runs on two workers: the paused owner may still renew leases, so the
    new owner does not know when the last one expires until that instance has left the list.
    When job "certificates" with 4 tasks that run 100 seconds is submitted
    And 3 seconds pass
    And a worker with tasks becomes unreachable
    And the owner is paused
    And another instance takes over the shard
    And 60 seconds pass
    Then 0 new attempts of "certificates" have been placed since the partition
    And the paused owner is removed from the platform's list of instances
    And 30 seconds pass
    And 4 tasks of "certificates" run

  Scenario: A gang waits for free capacity
    Guards against a gang of which only a part starts because other tasks occupy the workers.
    When job "small" with 6 tasks that run 10 seconds is submitted
    And 1 second passes
    And job "survey" of kind gang with 10 tasks of 1 processors is submitted
    And 3 seconds pass
    Then 0 tasks of "survey" run
    And 12 seconds pass
    And 10 tasks of "survey" run

  Scenario: A gang that exceeds the capacity of the cluster is refused
    Guards against a gang that waits indefinitely because its tasks can never run at the same time.
    When job "survey" of kind gang with 13 tasks of 1 processors is submitted
    Then the last operation is refused with "impossible-job"

  Scenario: A gang restarts as a whole when one of its tasks fails
    Guards against a gang that continues without the failed task.
    When job "survey" of kind gang with 6 tasks of 1 processors is submitted
    And 2 seconds pass
    And one task of "survey" fails
    And 1.2 seconds pass
    Then 0 tasks of "survey" run
    And 5 seconds pass
    And 6 tasks of "survey" run

  Scenario: Running tasks continue while the table is unavailable
    Guards against starts that are not durable and against ended attempts that are lost, as tasks
    end while nothing can be committed.
    When job "short" with 4 tasks that run 10 seconds is submitted
    And job "long" with 8 tasks that run 100 seconds is submitted
    And 2 seconds pass
    And the table becomes unavailable
    And job "short" is cancelled
    And job "more" with 2 tasks is submitted
    And 60 seconds pass
    Then the last operation is refused with "outcome-unknown"
    And job "later" with 2 tasks is submitted
    And the last operation is refused with "store-unavailable"
    And 8 tasks of "long" run
    And workers have started 12 attempts in total
    And the table becomes available again
    And 5 seconds pass
    And job "short" is done
    And 8 tasks of "long" run

  Scenario: An owner that shuts down hands its shard over
    Guards against a planned restart that leaves the shard without an owner or starts its tasks
    again. The takeover may take up to 60 s here; whether it precedes the takeover time-out is not
    checked.
    When job "certificates" with 4 tasks is submitted
    And 2 seconds pass
    And the owner receives a shutdown request
    And 3 seconds pass
    Then another instance takes over the shard
    And 4 tasks of "certificates" run
    And workers have started 4 attempts in total

  Scenario: The capacity of a worker is reduced
    Guards against reserving more than a worker has: its tasks were placed by the larger capacity.
    When job "certificates" with 12 tasks that run 100 seconds is submitted
    And 2 seconds pass
    And the capacity of a worker with tasks is reduced to 2 processors
    And 4 seconds pass
    Then 10 tasks of "certificates" run
    And the reserved resources do not exceed any worker's capacity

  Scenario: Two owners under random failures
    Guards against interleavings of pauses, lost responses, late starts, partitions and takeovers
    that violate an invariant.
    Then no invariant is violated under random failures of two owners

  Scenario Outline: A task that crashes its workers fails after a few of them
    Guards against one task that takes worker after worker with it, and all that runs beside it.
    When job "certificates" with 6 tasks that run 300 seconds is submitted
    And job "deadly" with 1 tasks that run 30 seconds is submitted
    And each worker that runs "deadly" is <fate> for 120 seconds
    Then job "deadly" is failed
    And at most 5 workers were lost
    And 6 tasks of "certificates" run
    And no task ran on two workers at any time

    Examples:
      | fate      |
      | replaced  |
      | restarted |

  Scenario: A count of lost workers outlives its owner
    Guards against a task that starts anew with each owner.
    When job "deadly" with 1 tasks that run 30 seconds is submitted
    And each worker that runs "deadly" is replaced for 10 seconds
    And the owner process is killed
    And another instance takes over the shard
    And each worker that runs "deadly" is replaced for 120 seconds
    Then job "deadly" is failed
    And at most 5 workers were lost

  Scenario: Workers that are lost together blame no task
    Guards against work that is given up since a rack was lost, however often.
    When job "certificates" with 6 tasks that run 200 seconds is submitted
    And all workers are replaced each 15 seconds for 120 seconds
    And 30 seconds pass
    Then 6 tasks of "certificates" run

  Scenario Outline: Long work whose workers are lost now and then is kept
    Guards against work that is given up for losses which it doesn't cause: it ran for minutes before
    each of them.
    When job "certificates" with 1 tasks that run 400 seconds is submitted
    And the worker that runs "certificates" is <fate> each 310 seconds, 5 times
    And 500 seconds pass
    Then job "certificates" is done

    Examples:
      | fate        |
      | replaced    |
      | restarted   |
      | unreachable |
