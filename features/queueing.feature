Feature: Queues of submissions
  One owner places the tasks of all queues on workers that hold leases. Its decisions are played
  in virtual time against workers that check from their side what must always hold.

  Scenario: A calm day serves every submission
    Guards against a path that loses or doubles work without any fault.
    Given 4 workers and an owner
    When 12 submissions of mixed steps arrive
    And 30 seconds pass for the queues
    Then every submission is completed
    And no rule was broken

  Scenario: Runs of an ended submission keep their room after a takeover
    Guards against placing onto room that a cancelled run, unknown to the new owner, still takes.
    Given 1 workers and an owner
    When a submission "old" of 1 tasks on 12000 thousandths for 60 seconds arrives
    And 1 seconds pass for the queues
    And "old" is cancelled while its owner is frozen
    And another owner takes over
    And a submission "new" of 2 tasks on 5000 thousandths for 1 seconds arrives
    And 8 seconds pass for the queues
    Then no rule was broken
    And "new" is completed

  Scenario: A run listed before its submission is known keeps its room
    Guards against opening a worker before the size of an adopted run is entered.
    Given 1 workers and an owner
    When a submission "late" of 1 tasks on 12000 thousandths for 20 seconds arrives
    And 1 seconds pass for the queues
    And another owner takes over that has not read "late"
    And 1 seconds pass for the queues
    And the new owner reads "late"
    And a submission "new" of 1 tasks on 5000 thousandths for 1 seconds arrives
    And 3 seconds pass for the queues
    Then no rule was broken
    And "new" waits

  Scenario: An end that is listed before its submission is known counts
    Guards against ends that are forgotten, and work that runs again, since a former owner started
    it after the takeover.
    Given 1 workers and an owner
    When a submission "late" of 1 tasks on 2000 thousandths for 4 seconds arrives
    And 1 seconds pass for the queues
    And another owner takes over that has not read "late"
    And 6 seconds pass for the queues
    And the new owner reads "late"
    And 3 seconds pass for the queues
    Then "late" is completed
    And "late" has 1 starts
    And no rule was broken

  Scenario: A former owner that wakes starts nothing
    Guards against two owners that both give orders.
    Given 3 workers and an owner
    When the owner freezes for 6 seconds
    And another owner takes over
    And 12 submissions of mixed steps arrive
    And 40 seconds pass for the queues
    Then every submission is completed
    And no rule was broken

  Scenario: A task on a worker that is cut off waits for the lease before it runs again
    Guards against a second run while the first goes on behind a partition.
    Given 2 workers and an owner
    When a submission "cut" of 2 tasks on 9000 thousandths for 30 seconds arrives
    And 1 seconds pass for the queues
    And worker "w0" is cut off
    And 4 seconds pass for the queues
    Then "cut" has 2 starts
    When 40 seconds pass for the queues
    Then no rule was broken

  Scenario: An owner that takes over behind a partition waits for what it can't see
    Guards against starting again what its predecessor started on an unreachable worker.
    Given 2 workers and an owner
    When a submission "cut" of 2 tasks on 9000 thousandths for 30 seconds arrives
    And 1 seconds pass for the queues
    And worker "w0" is cut off and leaves the list
    And another owner takes over
    And 40 seconds pass for the queues
    Then no rule was broken

  Scenario: Work that is newer than a worker's drain doesn't wait for it after a takeover
    Guards against seconds without starts when workers have left shortly before a takeover.
    Given 3 workers and an owner
    When worker "w0" drains
    And 1 seconds pass for the queues
    And the owner freezes for 6 seconds
    And a submission "after" of 2 tasks on 9000 thousandths for 1 seconds arrives
    And worker "w0" is cut off
    And another owner takes over
    And 1 seconds pass for the queues
    Then "after" has begun
    When 30 seconds pass for the queues
    Then "after" is completed
    And no rule was broken

  Scenario: Work that is older than a worker's drain waits for it after a takeover
    Guards against a second run of what goes on at a draining worker behind a partition.
    Given 3 workers and an owner
    When a submission "before" of 3 tasks on 9000 thousandths for 20 seconds arrives
    And 1 seconds pass for the queues
    And worker "w0" drains
    And 1 seconds pass for the queues
    And worker "w0" is cut off
    And another owner takes over
    And 2 seconds pass for the queues
    Then "before" has 3 starts
    When 60 seconds pass for the queues
    Then "before" is completed
    And no rule was broken

  Scenario: A commit that began before a worker's restart covers none of its new ends
    Guards against ends of a new life that are forgotten before they are stored.
    Given 1 workers and an owner
    When a commit begins that covers 50 ends of worker "w0"
    And worker "w0" starts again under its id
    And the store refuses
    And a submission "x" of 1 tasks on 1000 thousandths for 1 seconds arrives
    And 4 seconds pass for the queues
    And the commit ends
    Then worker "w0" is told to forget no end

  Scenario: A task that always fails ends its submission after its attempts
    Guards against endless runs of work that can never be done.
    Given 3 workers and an owner
    And every run fails
    When a submission "poison" of 1 tasks on 1000 thousandths for 1 seconds arrives
    And 10 seconds pass for the queues
    Then "poison" is failed
    And "poison" has 3 starts

  Scenario: A worker that fails all that it starts is set aside
    Guards against attempts that are used up on one bad worker.
    Given 3 workers and an owner
    And worker "w0" fails all that it starts
    When 40 submissions of 1 tasks arrive over 20 seconds
    And 20 seconds pass for the queues
    Then every submission is completed
    And at most 12 runs failed

  Scenario: A slow worker gets few tasks
    Guards against a share of all work that goes to workers on which it takes far too long. Without
    knowing, the worker would get a quarter of the tasks; a tenth is allowed, for it to be found out.
    Given 4 workers and an owner
    And tasks on worker "w0" take 8 times as long
    When 200 submissions of 1 tasks arrive over 20 seconds
    And 12 seconds pass for the queues
    Then every submission is completed
    And at most 20 runs ended on worker "w0"
    And no rule was broken

  Scenario: Work with checkpoints leaves a worker on which it stands still
    Guards against tasks that wait for a worker although their work is saved.
    Given 3 workers and an owner
    And tasks on worker "w0" stand still
    When 12 submissions of 1 tasks with checkpoints arrive over 2 seconds
    And 8 seconds pass for the queues
    Then every submission is completed
    And no rule was broken

  Scenario: A wide gang finds room under a stream of narrow tasks
    Guards against gangs that starve while narrow tasks take each piece of room that gets free.
    Given 4 workers and an owner
    When a stream of narrow tasks of priority 2 keeps the workers full for 25 seconds
    And a gang "wide" of 12 tasks on 4000 thousandths of priority 1 arrives after 4 seconds
    And 12 seconds pass for the queues
    Then "wide" has begun
    And no rule was broken

  Scenario: A gang begins beside tasks that go on for long
    Guards against room kept on workers that will not be empty for a long time, while a stream of
    narrow tasks takes what becomes free elsewhere.
    Given 8 workers and an owner
    When a submission "long" of 8 tasks on 9000 thousandths for 60 seconds arrives
    And 1 seconds pass for the queues
    And a stream of narrow tasks of priority 2 keeps the workers full for 20 seconds
    And a gang "wide" of 8 tasks on 6000 thousandths of priority 1 arrives after 4 seconds
    And 6 seconds pass for the queues
    Then "wide" has begun
    And no rule was broken

  Scenario: The tickets of a gang are renewed together
    Guards against a gang that has room and never all of its tickets, since each call takes a third
    of their validity and they end one after another.
    Given 6 workers and an owner
    And a gang of 6 tasks that fits now and whose tickets end one after another
    When the first of its tickets has ended
    Then the next call for advice names all 6 workers

  Scenario: A backlog after an outage is worked off from its useful end
    Guards against seconds spent on work that is too late for its caller while work that is only
    late, or not late yet, becomes too late as well. The worker could do 30 in the 6 seconds that
    the newest ones have; half of that is asked for.
    Given 1 workers and an owner
    When 60 submissions of 1 tasks for 1 second that are 0 to 6 seconds old become known
    And 20 seconds pass for the queues
    Then at least 15 of them were completed within 3 objectives of their acceptance
    And every submission is completed
    And no rule was broken

  Scenario: A hopeless submission sets no sound worker aside
    Guards against workers that are blamed for work that can never be done.
    Given 2 workers and an owner
    And every run of "poison" fails
    When a submission "poison" of 3 tasks on 1000 thousandths for 1 seconds arrives
    And 6 seconds pass for the queues
    Then "poison" is failed
    And no worker was set aside

  Scenario: Callers that are refused together come back spread
    Guards against pauses that all end before the outage does, or at the same moment.
    Given an outage of 6 seconds in which 100 callers are refused in its first second
    When each comes back as it is told, 4 times at most
    Then at least 90 callers come back after the outage
    And no second sees more than 70 of them

  Scenario: Callers that give up after three seconds come back before
    Guards against pauses that outlast a caller's patience, which end its tries while the store is
    coming back.
    Given an outage of 4 seconds in which 100 callers with 3 seconds of patience are refused
    When each comes back as it is told while its patience lasts
    Then all who were refused in the last 1.9 seconds come back after the outage

  Scenario Outline: The random days catch a broken protocol
    Guards against checks that would pass whatever the owner did.
    When the random days are played until one breaks a rule, while <fault>
    Then one of the first <days> days broke a rule

    Examples:
      | fault                                     | days |
      | workers ignore tokens                     | 10   |
      | ends are forgotten before they are stored | 60   |
      | starts without an answer are released     | 10   |
      | unreachable workers are forgotten         | 60   |
      | leases are not waited for                 | 60   |
      | closed workers get starts at once again   | 60   |

  Scenario Outline: Random faults break no rule
    Guards against any order of lost and late orders, cuts, restarts and changes of owner.
    When the random days <first> to <last> are played
    Then no day broke a rule
    And on every day all submissions have ended

    Examples:
      | first | last |
      | 1     | 60   |
      | 61    | 120  |

  Scenario Outline: Workers that leave around changes of owner break no rule
    Guards against starts that don't wait for a worker which has a run of an earlier owner.
    When the random days <first> to <last> with workers that leave are played
    Then no day broke a rule
    And on every day all submissions have ended

    Examples:
      | first | last |
      | 1     | 80   |

  Scenario Outline: Late orders that reach a worker's next life break no rule
    Guards against a second run where a worker that starts again under its id takes late orders
    for its former life.
    When the random days <first> to <last> whose workers don't tell their lives apart are played
    Then no day broke a rule
    And on every day all submissions have ended

    Examples:
      | first | last |
      | 1     | 94   |
      | 96    | 120  |

  Scenario: A late order reaches a worker's next life before the first hold does
    Guards against the part of the above that tokens can't prevent.
    When the random days 95 to 95 whose workers don't tell their lives apart are played
    Then no day broke a rule
