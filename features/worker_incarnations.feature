Feature: Incarnations of workers and instances
  A worker that restarts knows nothing of before, and an instance that has left stays away: neither
  is treated as the former one.

  Scenario: Failures of a former incarnation don't count against a restarted worker
    Guards against a sound worker that gets no work, since the one before it at the same id failed
    everything.
    Given 1 workers and an owner
    And every run on worker "w0" fails
    When 3 submissions of 1 tasks arrive over 1 seconds
    And 2 seconds pass in the simulation
    Then worker "w0" is blocked
    When every run on worker "w0" succeeds
    And worker "w0" restarts with the same id
    Then worker "w0" is not blocked
    When a submission "next" of 1 tasks of 1000 millicores and 1 seconds arrives
    And 2 seconds pass in the simulation
    Then "next" is completed

  Scenario: An owner whose run numbers are used up steps down
    Guards against run numbers of the next owner's block: its own starts would be refused as older
    ones.
    Given run numbers for 3 starts of a task
    And 1 workers and an owner
    And every run fails
    When a submission "again" of 1 tasks and 9 attempts arrives
    And 20 seconds pass in the simulation
    Then the owner has stepped down after 3 starts

  Scenario: An owner whose command tokens are used up steps down
    Guards against two incarnations of a worker with one token: a late command for the first would
    be carried out by the second.
    Given command tokens for 2 restarts of a worker
    And 2 workers and an owner
    When worker "w0" restarts with the same id
    Then the owner is active
    When worker "w0" restarts with the same id
    Then the owner has stepped down after 0 starts

  Scenario: An owner is not fenced by its own command to a worker that it had removed
    Guards against an owner that steps down: a command to a former incarnation reaches the next one
    under the same id, which gets a lower token since the owner had removed the worker.
    Given 2 workers and an owner
    When worker "w0" restarts with the same id
    And worker "w0" crashes
    And 8 seconds pass in the simulation
    And worker "w0" is started and has received the owner's last command
    And 2 seconds pass in the simulation
    Then the owner is active

  Scenario: A start that a restarted worker has answered is stopped before its capacity is used
    Guards against a worker over its capacity: the owner starts a task, which the new incarnation
    carries out, before it learns of the restart, and takes the run for one of the former.
    Given 1 workers and an owner
    When worker "w0" restarts, as the list of workers shows after a start and before a report
    And a gang "first" of 1 tasks of 12000 millicores with priority 2 arrives after 0 seconds
    And a gang "second" of 1 tasks of 12000 millicores with priority 1 arrives after 0.08 seconds
    And 3 seconds pass in the simulation
    Then no invariant was violated
    When 40 seconds pass in the simulation
    Then every submission is completed
    And no invariant was violated

  Scenario: An outdated entry doesn't take the runs of a worker that has reported its restart
    Guards against a second run of a task: the list still shows the former incarnation of a worker
    that is cut off from the store, and its next report counts as another restart.
    Given 2 workers and an owner
    When worker "w0" is cut off from the store
    And worker "w0" restarts with the same id
    And worker "w0" runs a task of 4 seconds that a former owner has started there
    And the list of workers is read
    And 3 seconds pass in the simulation
    Then the owner has 1 run on worker "w0"
    When 20 seconds pass in the simulation
    Then every submission is completed
    And there was 1 start
    And no invariant was violated

  Scenario: An outdated entry that is read again doesn't take the runs of a worker
    Guards against a second run of a task after a stale read of the list, which shows a former
    incarnation of a worker, later than the list has shown the present one.
    Given 2 workers and an owner
    When worker "w0" restarts with the same id
    And worker "w0" runs a task of 4 seconds that a former owner has started there
    And the list of workers is read as it was before the restart of "w0"
    And 3 seconds pass in the simulation
    Then the owner has 1 run on worker "w0"
    When 20 seconds pass in the simulation
    Then every submission is completed
    And there was 1 start
    And no invariant was violated

  Scenario: A restarted worker gets no task by the labels of its former incarnation
    Guards against a task on a worker without the label that it needs: the worker has come back as
    another kind, which the list doesn't show yet.
    Given 1 workers and an owner
    When worker "w0" is cut off from the store
    And worker "w0" restarts with the same id as kind "b"
    And a submission "for-a" of tasks that need the label "a" arrives
    And a submission "for-b" of tasks that need the label "b" arrives
    And 2 seconds pass in the simulation
    Then there was 0 start
    When worker "w0" reaches the store again
    And 3 seconds pass in the simulation
    Then "for-b" is completed
    And "for-a" remains queued
    And no invariant was violated

  Scenario: A restarted worker is not emptied because its former incarnation drained
    Guards against runs that are stopped for nothing: the list still shows the former incarnation,
    which was about to leave.
    Given 2 workers and an owner
    When worker "w0" is about to leave
    And worker "w0" is cut off from the store
    And worker "w0" restarts with the same id
    And worker "w0" runs a task of 4 seconds that a former owner has started there
    And 20 seconds pass in the simulation
    Then every submission is completed
    And there was 1 start
    And no invariant was violated

  Scenario: A worker whose clock was set back before its restart is used again
    Guards against a worker that is never used again, and tasks that count as running on it: its new
    incarnation seems to be older than the former one.
    Given 1 workers and an owner
    When a submission "before" of 1 tasks of 2000 millicores and 4 seconds arrives
    And 1 seconds pass in the simulation
    And worker "w0" restarts with the same id after its clock was set back
    And 10 seconds pass in the simulation
    Then every submission is completed
    And no invariant was violated

  Scenario: A former entry doesn't end an incarnation that seems to be older
    Guards against the same worker that loses its runs again and again, as long as the list shows the
    former incarnation.
    Given 2 workers and an owner
    When worker "w0" is cut off from the store
    And worker "w0" restarts with the same id after its clock was set back
    And worker "w0" runs a task of 4 seconds that a former owner has started there
    And the list of workers is read
    And 3 seconds pass in the simulation
    Then the owner has 1 run on worker "w0"
    When 20 seconds pass in the simulation
    Then every submission is completed
    And there was 1 start
    And no invariant was violated

  Scenario: No lease is computed on the clock of a former incarnation
    Guards against a lease far longer than the owner counts: the new incarnation's clock has just
    started, and an end on the former one's is cut only to the longest lease that a worker allows.
    Given 1 workers and an owner
    When 8 seconds pass in the simulation
    And worker "w0" restarts, as the list of workers shows after a start and before a report
    And the list of workers is read
    Then the owner computes no end of a lease for worker "w0"
    When 1 seconds pass in the simulation
    Then the owner's end of a lease for worker "w0" is at most 6 seconds on its clock

  Scenario: A start is not sent to another incarnation of its worker
    Guards against a lease far longer than the owner counts, and so against a second run of the
    task elsewhere, when a worker has restarted since its last report.
    Given a queue worker and its client, which has read the worker's report
    When the worker restarts without notice
    And the client sends a start that is meant for the former incarnation
    Then the start was not sent
    And the worker runs nothing and has no lease

  Scenario: A hold for a former incarnation only reads the report of the next one
    Guards against a lease far longer than the owner counts, and against finished runs that are
    dropped as acknowledged though nobody has read them.
    Given a queue worker and its client, which has read the worker's report
    When the worker restarts without notice
    And a run ends at the worker
    And the client sends a hold that acknowledges 5 finished runs of the former incarnation
    Then the report is that of the new incarnation with 1 finished run
    And the worker runs nothing and has no lease
    When the client sends a hold that acknowledges 1 finished run of the new incarnation
    Then the report is that of the new incarnation with 0 finished runs

  Scenario: Tasks of a restarted worker that is cut off run elsewhere only after its lease
    Guards against two runs of a task for the difference between the longest lease that a worker
    allows and the one that the owner counts.
    Given queue workers that allow leases of 10 seconds
    And 1 entry instances and 2 queue workers
    When queue worker 1 has 0 processors
    And 7.0 seconds of real time pass
    And queue worker 0 restarts within 0.3 seconds
    And 1.0 seconds of real time pass
    And submission "00000000000000e1" of 4 long tasks is sent to instance 0
    And 0.5 seconds of real time pass
    And queue worker 0 no longer answers
    And queue worker 1 has 8000 processors
    And 8.0 seconds of real time pass
    Then queue worker 0 and later queue worker 1 have started 4 tasks
    And the stand-ins saw no violation

  Scenario: Capacity without processors is reserved as well
    Guards against a reservation that begins anew with each step whose tasks need accelerators only:
    tasks that end too late take what is reserved.
    Given 1 workers and an owner
    When accelerators are reserved on worker "w0" until 5 seconds and again until 9 seconds
    Then the reservation ends after 5 seconds

  Scenario: A join that the store carries out late doesn't list an instance that has left
    Guards against calls to an instance that has ended: its row, written again after it left, would
    stay in the table.
    Given 2 entry instances and 1 queue workers
    When another instance starts whose first write is carried out 4 seconds late
    And that instance receives SIGTERM
    And 5.0 seconds of real time pass
    Then the table lists no instance but 2

  Scenario: Advice that an instance doesn't return is requested through another one
    Guards against urgent steps that wait a second for an instance that was lost, again and again.
    Given an advisory service that 3 instances reach, of which one never responds
    When 30 calls for advice of 0.05 seconds each are made one after the other
    Then all of them are answered
    And at most 2 of them went to the instance that never responds

  Scenario: Calls for advice that are lost together count as one failure of their instance
    Guards against instances that are avoided for a minute after one lost connection, so that all
    advice waits for the few that are left.
    Given an advisory service that 3 instances reach
    When 12 calls for advice wait at each instance, and those of one are lost together
    And 3.0 seconds later 30 more calls for advice are made
    Then 10 of them went to that instance

  Scenario: A call for advice waits no longer where all instances are avoided
    Guards against advice that waits for a minute at an instance that doesn't respond.
    Given an advisory service that 1 instances reach, of which one never responds
    When 6 calls for advice of 0.05 seconds each are made one after the other
    Then none of them has waited for more than 1.0 seconds at an instance

  Scenario: Calls for advice go on after an outage of the service that lasts for long
    Guards against an owner that steps down since the time for which an instance is avoided overflows.
    Given an advisory service that 1 instances reach, of which one never responds
    When 1200 calls for advice of 0.05 seconds each are made one after the other
    Then none of them has waited for more than 1.0 seconds at an instance
