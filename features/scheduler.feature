Feature: Order and choice of placements
  The scheduler is fair between teams and priority classes, prevents starvation of gangs and avoids
  workers that fail the tasks that they start.

  Scenario: Teams get equal dominant shares
    Guards against one team that takes all capacity because its tasks were queued first.
    Given 4 workers of 4 processors
    And team "first" waits with 40 batch tasks of 1 processor
    And team "second" waits with 40 batch tasks of 1 processor
    When placements are decided
    Then 16 tasks are placed
    And team "first" and team "second" have 8 tasks each

  Scenario: A team at its quota waits
    Guards against a quota that is checked only at submission: the backlog exceeds it.
    Given 4 workers of 4 processors
    And team "first" has a quota of a quarter of the cluster
    And team "first" waits with 40 batch tasks of 1 processor
    When placements are decided
    Then 4 tasks are placed
    And the waiting tasks of team "first" are explained by "quota"

  Scenario: A gang is placed although small tasks keep arriving
    Guards against starvation of gangs: a new small task takes each part of a worker as it is freed.
    Given 2 workers of 4 processors
    And small tasks of 10 seconds fill the workers and a new one arrives whenever one finishes
    And a gang of 2 tasks of 4 processors is waiting
    When 60 seconds pass in steps of half a second
    Then all tasks of the gang are placed at once

  Scenario: Lower priority classes keep an eighth of the placements
    Guards against batch tasks that are never scheduled while urgent tasks are always waiting.
    Given 4 workers of 4 processors
    And urgent and batch tasks of 1 second are always waiting
    When 60 seconds pass in steps of half a second
    Then between 10 and 20 percent of the placed tasks are batch tasks

  Scenario: A worker that fails every start is ejected
    Guards against a failing worker that attracts tasks because it looks idle after each failure.
    Given 10 workers of 4 processors
    When every start on one worker fails, for tasks of 40 different jobs
    Then fewer than 10 starts went to the failing worker

  Scenario: At most three in ten workers are ejected
    Guards against jobs that fail on every worker and thereby take all workers out of use.
    Given 10 workers of 4 processors
    When every start on every worker fails, for tasks of 60 different jobs
    Then at least 7 workers are still used
