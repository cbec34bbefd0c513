Feature: All instances are lost for good

  Entry instances as real processes. New ones at other addresses, which no earlier owner lists, take
  over beside workers of which some can't be reached.

  Scenario Outline: Work goes on beside a worker that is lost with all instances
    Guards against a minute without starts after the loss of all instances and one worker: none of the
    lost processes answers that its ownership has ended.
    Given 3 entry instances and 8 queue workers in two zones
    When 6 submissions run while all instances <are lost>, and one worker <is lost>
    And 2 new instances are ready 2.0 seconds later
    And 5 submissions are sent to the new instances
    Then nothing that was accepted still waits at a new instance after 14 seconds
    And the last owner has ended the wait for earlier owners by its workers
    And the stand-ins saw no violation

    Examples:
      | are lost   | is lost    |
      | are killed | crashes    |
      | are killed | is cut off |
      | are frozen | crashes    |

  Scenario Outline: Work goes on after owners in a row that are lost beside a lost worker
    Guards against a minute without starts that the third owner inherits from the second, which was
    lost before it had learnt that the first had ended.
    Given 3 entry instances and 8 queue workers in two zones
    When 6 submissions run while all instances are killed, and one worker crashes
    And from then on the store <state>
    And 1 new instances are ready 2.0 seconds later
    And the new owner is killed 0.3 seconds after its claim
    And 2 new instances are ready 1.0 seconds later
    And 5 submissions are sent to the new instances
    Then nothing that was accepted still waits at a new instance after 14 seconds
    And the last owner has ended the wait for earlier owners by its workers
    And the stand-ins saw no violation

    Examples:
      | state                     |
      | answers as usual          |
      | takes 0.2 s for each call |

  Scenario Outline: Instances that are cut off with some of the workers run nothing twice
    Guards against a new owner that waits for too short a time for one that still acts on workers
    which only that one reaches, and doesn't list it.
    Given 3 entry instances and 8 queue workers in two zones
    When long tasks run on all workers
    And all instances and <inside> of the workers are cut off for 20.0 seconds, and 2 new instances start
    Then the runs of the workers inside <go on>
    And all long tasks run within 30 seconds
    And the stand-ins saw no violation

    Examples:
      | inside | go on        |
      | 3      | have ended   |
      | 4      | have ended   |
      | 6      | have gone on |
