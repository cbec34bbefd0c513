Feature: Placement by the learnt speeds of workers
  Some workers take longer than the others for good. Which ones is learnt from their runs, and work
  goes where it still ends in time.

  Scenario Outline: Short work is in time although a third of the workers is slow
    Guards against short submissions that end late on slow workers while faster ones are free: without
    learnt speeds they are packed onto the workers that long work keeps busy.
    Given 24 workers of duration factors <factors>
    When short and long work arrives for 25 seconds, with seed <seed>
    Then at most 0.1 of the short work after 5 seconds was late
    And all long work is done
    And no invariant was violated
    When the same load arrives without regard to speeds
    Then more than twice that share of the short work was late

    Examples:
      | factors       | seed |
      | 0.7, 0.7, 1.7 | 1    |
      | 0.7, 0.7, 1.7 | 2    |
      | 0.8, 1.0, 1.6 | 3    |

  Scenario: A new owner learns the speeds again
    Guards against learnt speeds that are missed once they are lost with their owner.
    Given 24 workers of duration factors 0.7, 0.7, 1.7
    When short and long work arrives for 10 seconds, with seed 1
    And a new owner takes over
    And short and long work arrives for 20 more seconds
    Then at most 0.1 of the short work after 16 seconds was late
    And the last owner knows all slow workers and no others
    And no invariant was violated

  Scenario: Work on lastingly slow workers is left alone
    Guards against runs that are stopped and started again since their workers are as slow as always.
    Given 24 workers of duration factors 0.7, 0.7, 0.7, 2.0
    When short and long work arrives for 25 seconds, with seed 1
    Then no run was stopped after 8 seconds

  Scenario Outline: Even workers are all alike, whatever their tasks
    Guards against sound workers that count as slow by chance: tasks of several times the usual length
    beside others, estimates that are off, gaps between runs.
    Given <workers> workers with a tail of long tasks, of duration factors 1.0
    When short and long work arrives for 25 seconds, with seed <seed>
    Then at most 0.1 of the workers are slow

    Examples:
      | workers | seed |
      | 24      | 1    |
      | 24      | 2    |
      | 60      | 3    |

  Scenario: A worker that was slow for some time gets short work again
    Guards against a worker that is starved for ever once its fault has passed.
    Given 24 workers of duration factors 1.0
    And worker "w0" takes 2.5 times as long for 15 seconds
    When short and long work arrives for 15 seconds, with seed 1
    Then worker "w0" has a learnt speed of class "slow"
    When short and long work arrives for 20 more seconds
    Then worker "w0" has a learnt speed of class "usual"
    And short work ran on worker "w0" in the last 5 seconds

  Scenario: Old evidence is forgotten
    Guards against a worker without runs that stays slow by what its runs showed minutes ago.
    Given 8 workers with learnt durations of 1.0 and worker 0 of 2.0
    When 61 seconds pass without runs on worker 0
    Then no worker counts as slow

  Scenario Outline: Learnt speeds belong to a machine
    Guards against a new machine under the id of a slow one that is taken for slow, and against a
    restart after which a slow machine has to be learnt again.
    Given 8 workers with learnt durations of 1.0 and worker 0 of 2.0
    When worker 0 restarts with <capacity> processors
    Then worker 0 is known to be <class>

    Examples:
      | capacity | class   |
      | 16000    | slow    |
      | 8000     | unknown |

  Scenario: Long work by itself doesn't make its workers slow
    Guards against workers that are slow or fast only by the queue whose tasks they run.
    Given two queues whose estimates are off by 0.5 and 2.0
    When each of 8 workers runs tasks of one of them most of the time
    Then no worker counts as slow

  Scenario Outline: A gang gets workers of one class if they hold it, and any others otherwise
    Guards against a gang on fast workers that waits for its one member on a slow worker, and against a
    gang that doesn't start beside free capacity.
    Given 8 workers with learnt durations of 1.0, and workers 0 to 3 of 2.0
    When workers are chosen for a gang of <members> with <seconds> seconds left for 1 second of work
    Then the gang gets workers <workers>

    Examples:
      | members | seconds | workers                |
      | 4       | 1.5     | 4, 5, 6, 7             |
      | 4       | 9.0     | 0, 1, 2, 3             |
      | 6       | 1.5     | 0, 1, 2, 3, 4, 5, 6, 7 |

  Scenario: Learnt speeds never keep a task from a worker
    Guards against work that waits beside free capacity since the workers are slow.
    Then with any learnt speeds, a task has a worker if and only if it has one without them
