Feature: What is placed next
  The scheduler is fair between teams and classes, keeps gangs from starving and avoids workers
  that fail what they start.

  Scenario: Teams share by dominant share (guards against one team's backlog taking everything)
    Given 4 workers of 4 processors
    And team "first" waits with 40 batch tasks of 1 processor
    And team "second" waits with 40 batch tasks of 1 processor
    When placements are decided
    Then 16 tasks are placed
    And team "first" and team "second" have 8 tasks each

  Scenario: A team at its quota waits (guards against a quota that is only checked at submission)
    Given 4 workers of 4 processors
    And team "first" may hold a quarter of the cell
    And team "first" waits with 40 batch tasks of 1 processor
    When placements are decided
    Then 4 tasks are placed
    And the waiting tasks of team "first" are explained by "quota"

  Scenario: A gang is placed though small tasks keep coming (guards against starving gangs)
    Given 2 workers of 4 processors
    And small tasks of 10 seconds fill the workers and one more arrives at each end
    And a gang of 2 tasks of 4 processors waits
    When 60 seconds pass in steps of half a second
    Then the gang is placed at once as a whole

  Scenario: Lower classes keep an eighth (guards against batch work that never moves)
    Given 4 workers of 4 processors
    And urgent and batch tasks of 1 second are always waiting
    When 60 seconds pass in steps of half a second
    Then between 10 and 20 percent of the placed tasks are batch tasks

  Scenario: A worker that fails every start is ejected (guards against a failing worker that looks idle)
    Given 10 workers of 4 processors
    When every start on one worker fails, for tasks of 40 different jobs
    Then fewer than 10 starts went to the failing worker

  Scenario: At most three in ten workers are ejected (guards against a bad job that stops the cell)
    Given 10 workers of 4 processors
    When every start on every worker fails, for tasks of 60 different jobs
    Then at least 7 workers are still used
