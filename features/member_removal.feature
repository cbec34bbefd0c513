Feature: Instances that have gone without leaving
  While it has no store, an owner acts only if all listed instances answer. It removes those that
  have not answered for long while the store confirmed it.

  Scenario: A machine that is lost for good doesn't stop the owner in later outages
    Guards against placement that stops, and work that lapses, in each outage of the store.
    Given 4 entry instances and 3 queue workers
    When the owner has reached every worker
    And submission "00000000000000e1" of 2 long tasks is sent to instance 0
    And an instance other than the owner is killed for good
    And a process has logged "member-removed", or 40.0 seconds have passed
    And the store is silent for 8.0 seconds, and 1.5 seconds of real time pass
    Then no process has logged "owner-isolated" since then
    And no process has logged "ownership-claimed" since then
    And a process has logged "member-removed"
    And every task was started once

  Scenario: A paused instance is listed again when it goes on
    Guards against an instance that stays removed, to which no peer forwards and which is no
    successor.
    Given 3 entry instances and 3 queue workers
    When the owner has reached every worker
    And an instance other than the owner is paused
    And a process has logged "member-removed", or 40.0 seconds have passed
    And the paused instance goes on
    Then the paused instance is listed again within 3 seconds under another process id

  Scenario Outline: Only silence in the time that counts leads to a removal
    Guards against the removal of instances that the owner could not have heard.
    Given an owner that pings the members a and b, of which b doesn't answer
    When its rounds of pings are <rounds>
    Then it removes <removed>

    Examples:
      | rounds                                                              | removed |
      | 4 confirmed ones                                                    | nobody  |
      | 5 confirmed ones                                                    | b       |
      | 4 confirmed ones, 20 unconfirmed ones                               | nobody  |
      | 4 confirmed ones, 20 unconfirmed ones, 1 confirmed one              | nobody  |
      | 4 confirmed ones, 20 unconfirmed ones, 2 confirmed ones             | b       |
      | 4 confirmed ones, an interruption of 60 seconds, 1 confirmed one    | nobody  |
      | 4 confirmed ones, a pause of 60 seconds, 1 confirmed one            | nobody  |
      | 4 confirmed ones, 1 that takes 60 seconds, 1 confirmed one          | nobody  |
      | 4 confirmed ones, 1 that b answers, 3 confirmed ones                | nobody  |
      | 4 confirmed ones, 1 that b answers, 4 confirmed ones                | b       |
      | 4 confirmed ones, 1 in which b is another process, 4 confirmed ones | nobody  |

  Scenario: A new owner counts from its takeover
    Guards against instances that are removed by what a former owner has or hasn't heard.
    Given an owner whose member row b is of a silent instance
    When it has pinged for 19 seconds
    And it claims the ownership again
    And it has pinged for 19 seconds
    Then b is listed
    When it has pinged for 8 seconds
    Then b is removed, and "member-removed" is logged

  Scenario Outline: A removal that has been overtaken has no effect
    Guards against the removal of an instance that has registered meanwhile, or by a former owner.
    Given an owner whose member row b is of a silent instance
    When it has pinged for 19 seconds
    And <event> before its next transaction
    And it has pinged for 8 seconds
    Then b is listed, and "member-unremoved" is logged

    Examples:
      | event                    |
      | b registers again        |
      | another instance claims  |
      | the store rejects writes |

  Scenario: A removed instance registers as another process
    Guards against an instance that takes itself for one that the owner asks, by a heartbeat that
    was written before its removal, and doesn't wait for what the owner may do without asking it.
    Given an instance m that the owner lists in its heartbeat
    When the owner removes m
    Then a claim of m conflicts
    And m is registered as another process
    And the next claim of m allows 61.2 seconds for the owner

  Scenario: A claim that meets the removal is repeated as another process
    Guards against the same when the claim learns of the removal first.
    Given an instance m that the owner lists in its heartbeat
    When the owner removes m at the moment of its claim
    Then the next claim of m allows 61.2 seconds for the owner
    And m is registered as another process

  Scenario: An instance that the owner asks claims without the long wait
    Guards against a removal that is taken for granted.
    Given an instance m that the owner lists in its heartbeat
    Then the next claim of m allows 1.2 seconds for the owner

  Scenario: A former owner that was removed ends before it registers as another process
    Guards against peers that take another process id at its name as proof that it has ended, while
    it still sends commands.
    Given an instance m that is the owner and doesn't know of its successor
    When the successor removes m, and m reads only its own row
    Then m had ended its ownership when it took another process id

  Scenario: A former owner that reads a removal by its successor ends
    Guards against a former owner that no longer asks an instance which has taken over.
    Given an instance m that is the owner and doesn't know of its successor
    When the successor removes another instance, and m reads only that row
    Then m has ended its ownership

  Scenario: An instance that is stopping doesn't register again
    Guards against a stopped instance that is listed for 20 seconds more.
    Given an instance m that the owner lists in its heartbeat
    When m is stopping
    And the owner removes m
    Then m is not registered
