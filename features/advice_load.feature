Feature: Advice under load
  The advisory service handles one call at a time for each instance, also those that their callers
  have given up. Each step is answered soon after the service can answer it.

  In each scenario, 7 instances reach the service. A call for a gang takes 0.5 to 0.6 seconds, others
  take a twentieth of a second at most, and 10 such urgent steps arrive each second. Each step is
  allowed a third of the 24 workers.

  Scenario: Urgent steps don't wait behind gangs for advice
    Guards against urgent steps that wait for seconds behind calls which could as well wait for them.
    Given 24 workers, an owner and an advisory service behind 7 instances
    When 40 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 5.0 seconds
    And each urgent step was advised within 1.0 seconds
    And no call for advice was given up

  Scenario: Urgent steps of a queue with lower priority don't wait behind gangs for advice
    Guards against steps that wait for seconds for a call that would delay each gang by a twentieth of
    a second, while gangs arrive all the time.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And urgent steps have lower priority than gangs
    When 80 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 9.0 seconds
    And each urgent step was advised within 1.0 seconds
    And no call for advice was given up

  Scenario: Many urgent steps don't keep gangs from advice
    Guards against gangs that wait as long as there are calls for steps of higher priority.
    Given 24 workers, an owner and an advisory service behind 2 instances
    And 500 urgent steps
    When 6 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 5.0 seconds

  Scenario: Calls of an owner that has stopped don't keep back those of the next one
    Guards against instances that are taken for busy with calls whose callers were ended.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 40 gangs that wait for advice
    And the owner has stopped, and the same instance is the owner again
    When 20 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 9.0 seconds
    And each urgent step was advised within 2.0 seconds
    And at most 10 calls for advice were given up

  Scenario: Gangs are advised soon after lost instances are back
    Guards against calls that all wait at the few instances that were never lost.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 5 instances don't reach the advisory service for the next 35 seconds
    And urgent steps arrive for 36 seconds
    When 60 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 8.0 seconds
    And each urgent step was advised within 3.0 seconds

  Scenario: Advice recovers after a takeover, while calls of the former owner still wait
    Guards against calls that are given up and sent again faster than the service handles them, so
    that it is busy with calls that nobody waits for, and no step starts beside free capacity.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 4 calls of 0.6 seconds wait at each instance, whose callers have gone
    When 20 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 8.0 seconds
    And each urgent step was advised within 5.0 seconds
    And at most 60 calls for advice were given up

  Scenario: Advice recovers after many calls whose callers have gone
    Guards against the same, with seven seconds of such calls at each instance and more gangs.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 12 calls of 0.6 seconds wait at each instance, whose callers have gone
    When 40 gangs arrive beside urgent steps for 15 seconds
    Then each gang was advised within 15.0 seconds
    And each urgent step was advised within 12.0 seconds
    And at most 120 calls for advice were given up

  Scenario: Advice recovers when the service is no longer slow
    Guards against the same after ten seconds in which each call took twice as long as published.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And calls for advice take 2.0 times as long for the next 10 seconds
    When 40 gangs arrive beside urgent steps for 15 seconds
    Then each gang was advised within 15.0 seconds
    And each urgent step was advised within 5.0 seconds
    And at most 120 calls for advice were given up

  Scenario: Gangs are advised while the service is slow
    Guards against calls for gangs that are all given up, as each takes longer than its caller waits.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And calls for advice take 3.0 times as long for the next 40 seconds
    When 20 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 20.0 seconds
    And each urgent step was advised within 5.0 seconds

  Scenario: Advice recovers when the service is reached again
    Guards against calls that all go through the first instance that is answered again, while the
    others are avoided.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And no instance reaches the advisory service for the next 20 seconds
    When 40 gangs arrive beside urgent steps for 25 seconds
    Then each gang was advised within 27.0 seconds
    And each urgent step was advised within 24.0 seconds

  Scenario: Advice goes on through the instances that are left
    Guards against urgent steps that wait behind gangs for advice when instances are lost.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 3 instances don't reach the advisory service for the next 20 seconds
    When 40 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 8.5 seconds
    And each urgent step was advised within 2.5 seconds
    And at most 30 calls for advice were given up

  Scenario: Gangs that are not next don't keep others from advice
    Guards against gangs that renew their tickets all the time for a plan that is no longer followed,
    since gangs of higher priority have come, so that what fits has no answer and doesn't start.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And long tasks that leave little capacity free
    When 4 times 10 gangs for which there is no capacity arrive, each time of higher priority
    And 4 small gangs of lower priority arrive
    Then each small gang was advised within 3.0 seconds

  Scenario: Advice for what can start now comes first
    Guards against gangs that renew their tickets before their turn, while the runs before them take
    longer than estimated, so that what fits has no answer and doesn't start.
    Given 24 workers, an owner and an advisory service behind 2 instances
    And long tasks that leave little capacity free
    When 4 times 10 gangs for which there is no capacity arrive, each time of higher priority
    And 4 small gangs of lower priority arrive
    Then each small gang was advised within 3.0 seconds

  Scenario: Renewals of tickets don't count for the share of workers that is allowed
    Guards against calls that name too few workers for a gang, since those named again are always
    allowed, so that it needs several calls of half a second. A third of them is allowed, so that 4
    members need 12, and some more.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And long tasks that leave little capacity free
    And 2 gangs that renew their tickets for 25 seconds, and then enough capacity
    When the gang "wide" of 4 tasks arrives
    Then the first call for the gang "wide" named at least 13 workers

  Scenario: A worker that restarts gets no start with a ticket of its former life
    Guards against gangs of which one member is rejected, so that the others have started in vain.
    Given 3 workers, an owner and an advisory service behind 7 instances
    And the advisory service allows each worker
    And a gang that runs on all workers for 1 second
    When worker "w1" restarts with the same id
    Then the gang has ended within 2.5 seconds
    And no start was rejected for its ticket

  Scenario: A gang on more workers than a call may name gets valid tickets for all of them
    Guards against calls that renew the tickets of the same hundred workers again and again, while
    those of the others have expired.
    Given 130 workers, an owner and an advisory service behind 7 instances
    And the advisory service allows each worker
    And tasks of 30 seconds that leave little capacity free
    When a gang of 125 tasks arrives, and those tasks are cancelled 9 seconds later
    Then the gang has ended within 5.0 seconds

  Scenario: Steps that are spread over all workers don't keep others from advice
    Guards against steps with one task per worker that renew tickets for workers that already run one.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And the advisory service allows each worker
    And 20 steps of 40 tasks that allow one task on each worker
    When 4 small gangs of lower priority arrive
    Then each small gang was advised within 3.0 seconds

  Scenario: A short step is advised where capacity is reserved for a gang
    Guards against short tasks that wait although they would end before the gang's turn.
    Given 4 workers, an owner and an advisory service behind 7 instances
    And the advisory service allows each worker
    And a gang that waits for all workers behind tasks of 25 seconds on 2 of them
    When a step of 2 tasks of 1 second arrives that needs capacity reserved for the gang
    Then it has ended within 3.0 seconds

  Scenario: A short gang runs where capacity is reserved for another one
    Guards against a gang that waits beside free capacity which is reserved for another one until later.
    Given 4 workers, an owner and an advisory service behind 7 instances
    And the advisory service allows each worker
    And a gang that waits for all workers behind tasks of 25 seconds on 2 of them
    When a gang of 2 tasks of 1 second arrives that needs capacity reserved for the other one
    Then it has ended within 3.0 seconds
