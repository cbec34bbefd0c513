Feature: Which submissions are refused for lack of room
  A submission is refused at once only if it is known that its result would come too late to be of
  use; a refusal promises that it never runs.

  Scenario Outline: What is refused
    Guards against <failure>.
    Given <ahead> core-seconds of work of priority <priority> wait for 10 cores
    And each worker has <free> millicores free
    Then a submission of priority 1 with an objective of 3 s is <decision>

    Examples: three times the objective is 9 s
      | ahead | priority | free | decision | failure                                               |
      | 300   | 0        | 0    | refused  | a caller that waits for a result that comes too late  |
      | 300   | 1        | 0    | refused  | a backlog of the same priority that isn't seen        |
      | 300   | 2        | 0    | accepted | a refusal for work that gives way                     |
      | 300   | 0        | 1000 | accepted | a refusal while there is room                         |
      | 120   | 0        | 0    | accepted | a refusal that durations half as long would make wrong |

  Scenario Outline: A refusal promises that a submission never runs
    Guards against a refusal of what runs, or may run.
    Given 300 core-seconds of work of priority 0 wait for 10 cores
    And each worker has 0 millicores free
    When <event>
    Then that submission is <decision>

    Examples:
      | event                                             | decision |
      | nothing is known of a submission                  | refused  |
      | a submission has a stored row                     | accepted |
      | the store can't be read for a submission          | accepted |
      | the store answers after 2 seconds                 | accepted |
      | the instance can't reach the store                | accepted |
      | a write of a submission has an unknown outcome    | accepted |
      | a write of a submission was rejected              | refused  |
      | the owner's answer is 2 seconds old               | accepted |

  Scenario: Those whose results lose their use first come back first, at different times
    Guards against callers that return all at once, or when their results are of no use.
    Then callers with 4, 40 and 400 seconds come back after 1, 7 to 12 and 75 to 125 seconds
    And a caller that waits for 6 seconds more comes back within 3 seconds

  Scenario: The backlog counts what waits and can still be of use
    Guards against refusals for work that has begun, or that gives way to all other work.
    Given 1 workers and an owner
    When a submission "running" of 2 tasks of 8000 millicores and 30 seconds arrives
    And a submission "waiting" of 2 tasks of 8000 millicores and 30 seconds arrives
    And 2 seconds pass in the simulation
    Then a less urgent submission waits for 30 seconds
    When the waiting submission is of no use any more
    Then a less urgent submission waits for 0 seconds

  Scenario: Work that its limit holds, or beyond the rate of its organisation, is not counted
    Guards against refusals of one organisation for work of another that would go behind it.
    Given 1 workers and an owner
    And organisations "a" and "b" with weights of 1 and 1
    When "a" submits "owed" of 4 tasks of 4000 millicores and 30 seconds
    And "a" submits "excess" of 4 tasks of 4000 millicores and 30 seconds
    And 2 seconds pass in the simulation
    Then a less urgent submission waits for 0 seconds
    When the limit of "b" changes to 1000 millicores
    And "b" submits "held" of 4 tasks of 4000 millicores and 30 seconds
    And 2 seconds pass in the simulation
    Then a less urgent submission waits for 0 seconds
    When the limit of "b" changes to 0 millicores
    And 2 seconds pass in the simulation
    Then a less urgent submission waits for 30 seconds

  Scenario: A refused submission is not stored, and one that was accepted is not refused later
    Guards against a refusal of work that runs, and against work that runs after its refusal.
    Given 2 entry instances and 3 queue workers
    When more work is sent to instance 0 than the workers do while it is of use
    Then a submission is refused with a Retry-After of at least 1 second
    And nothing is known of the refused submission
    And the first accepted submission is accepted again by both instances
