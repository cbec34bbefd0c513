Feature: Taking over the ownership of the queues
  Every instance decides from what it has read, independently of the others, when to claim
  ownership.

  Scenario: The fittest instance claims ownership first
    Guards against delays of all work because an instance with a slow link became the owner.
    Given instances with these resources
      | name      | processors | link (Mbit/s) |
      | small     | 0.5        | 100           |
      | slow-link | 2.1        | 5             |
      | large     | 2.1        | 100           |
    And their owner has resigned
    Then "large" claims ownership before "small"
    And "small" claims ownership before "slow-link"

  Scenario: An owner without heartbeat is replaced only while the store responds
    Guards against takeovers caused by an outage of the store, in which no heartbeat can be read.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 3.0 seconds while the store responds
    Then the instance claims ownership
    When the store is unavailable for 5.0 seconds and available again for 0.5 seconds
    Then the instance does not claim ownership
    When the owner's heartbeat does not advance for 3.0 seconds while the store responds
    Then the instance claims ownership

  Scenario: Pings that time out shorten the wait for an owner without heartbeat
    Guards against unnecessary seconds without an owner after its machine is lost.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 1.6 seconds while the store responds
    Then the instance does not claim ownership
    When 2 pings to the owner time out
    Then the instance claims ownership

  Scenario: An owner that refuses connections is replaced before the heartbeat time-out
    Guards against unnecessary seconds without an owner after its process was killed.
    Given an instance that knows an owner
    When 2 connections to the owner are refused
    Then the instance claims ownership

  Scenario: A predecessor's heartbeat does not count for the current owner
    Guards against a late takeover: the last write of a suspended owner hides that its successor
    sends no heartbeat.
    Given an instance that knows an owner
    When the owner's heartbeat does not advance for 2.0 seconds while the store responds
    And a heartbeat of the owner's predecessor arrives
    And another 0.5 seconds pass for the instance
    Then the instance claims ownership

  Scenario: A restart at the same address shows that the owner process has ended
    Guards against work that waits for an owner whose process has ended. Also guards against
    concluding that a process has ended when its instance restarts at another address: the old
    process may still run behind a network partition.
    Given an instance that knows an owner
    When the owner's process writes its member row again
    Then the instance does not conclude that the owner process has ended
    When another process writes its member row at the owner's name and another address
    Then the instance does not conclude that the owner process has ended
    When another process writes its member row at the owner's name and address
    Then the instance concludes that the owner process has ended
    When another 0.1 seconds pass for the instance
    Then the instance claims ownership

  Scenario: An instance with few resources lets instances that are still starting claim first
    Guards against an owner with a slow link after all instances were restarted.
    Given an instance with few resources that knows no fitter one and whose owner has ended
    When 0.9 seconds have passed since it read the owner row
    Then the instance does not claim ownership
    When 1.1 seconds have passed since it read the owner row
    Then the instance claims ownership

  Scenario: An instance that the owner designates claims at once
    Guards against seconds without an owner after one has resigned, while the others wait for its
    heartbeat.
    Given an instance that knows an owner
    And it is the 5th in the order of claims
    When the owner announces its resignation and designates another instance
    Then the instance does not claim ownership
    When the owner announces its resignation and designates this instance
    Then the instance claims ownership

  Scenario: An instance that gave up the ownership leaves it to others for a second
    Guards against an owner that fails on its state and takes over again and again, before another
    instance can.
    Given an instance that knows an owner
    When this instance takes over and steps down
    And another 0.5 seconds pass for the instance
    Then the instance does not claim ownership
    When another 0.6 seconds pass for the instance
    Then the instance claims ownership

  Scenario Outline: An owner hands over only what a peer can do better
    Guards against an owner that gives up the placement of work in an outage of the whole store,
    which goes on without the store; and against one that keeps it although it alone is cut off.
    Then an owner whose store <own> asks its peers: <asks>
    And it hands over to a peer whose read <peer>: <hands over>

    Examples:
      | own                           | asks | peer                      | hands over |
      | answers                       | no   | is answered in 0.01 s     | no         |
      | answers again after 0.6 s     | yes  | is answered in 0.01 s     | no         |
      | has not answered for 0.6 s    | yes  | is answered in 0.01 s     | yes        |
      | has not answered for 0.6 s    | yes  | is answered in 0.24 s     | no         |
      | has not answered for 0.6 s    | yes  | fails                     | no         |
      | rejects calls                 | yes  | is answered in 0.24 s     | yes        |
      | rejects calls                 | yes  | fails                     | no         |

  Scenario: The next owners follow the work table
    Guards against a takeover that reads every part of a large table, over a thin link or from a
    slow store.
    Given a work table with 40 submissions that a standby follows
    When 3 submissions are stored and the standby takes over
    Then it knows 43 submissions after 1 call to the store

  Scenario: Two fittest instances besides the owner are standbys
    Guards against all instances of a large fleet that read every change of the work table.
    Given 30 instances of which the fittest is the owner
    Then the second and the third fittest are standbys and no others

  Scenario: An owner that was paused acts only once it has a new proof of its ownership
    Guards against leases that a paused or partitioned owner extends at workers which its successor
    can't reach: the successor starts their tasks elsewhere while they still run.
    Given an owner with one worker whose answers are recorded
    When it has had no proof of its ownership for 1.3 seconds
    Then it sends no start, and its holds extend no lease
    When answers arrive to calls that were sent before
    Then it sends no start, and its holds extend no lease
    When a new call to the store is answered, which knows no other owner
    Then it sends starts, and its holds extend the lease

  Scenario: An owner that was paused finds out that it has been replaced before it acts
    Guards against starts at a worker that has restarted meanwhile, and knows no token of the
    successor yet.
    Given an owner with one worker whose answers are recorded
    When it has had no proof of its ownership for 1.3 seconds
    Then it sends no start, and its holds extend no lease
    When a new call to the store is answered, which knows another owner
    Then it has sent no start and steps down

  Scenario: An owner believes the restart of a worker only once the store confirms the owner
    Guards against a second start of what a later owner has seen to end on the former incarnation: an
    owner that goes on without the store takes it for lost.
    Given an owner with one worker whose answers are recorded
    When it has had no proof of its ownership for 1.3 seconds
    And its worker restarts
    Then it takes its worker for the former incarnation
    When a new call to the store is answered, which knows no other owner
    Then it takes its worker for the next incarnation

  Scenario: Contact with some of the peers proves nothing
    Guards against an owner that goes on in a partition with some peers, while one of the others has
    taken over outside.
    Given an owner that lists the peers a and b
    When it has had no proof of its ownership for 1.3 seconds
    Then the owner may not act
    When a answer that they know no later owner
    Then the owner may not act
    When a and b answer that they know no later owner
    Then the owner may act

  Scenario: Peers prove the ownership only for a while after the store did
    Guards against an owner that never asks an instance which joined during the partition.
    Given an owner that lists the peers a and b
    When it has had no proof of its ownership for 59.9 seconds
    And a and b answer that they know no later owner
    Then the owner may act
    When it has had no proof of its ownership for 1.4 seconds
    And a and b answer that they know no later owner
    Then the owner may not act

  Scenario Outline: Another process at a peer's address proves nothing
    Guards against an owner that goes on although a peer had taken over: the process that has
    replaced that peer's doesn't know of the claim.
    Given an owner that lists one peer, whose address process <process> answers
    When the store has been silent towards it for 1.3 seconds
    Then the owner <counts> as isolated

    Examples:
      | process | counts         |
      | b       | does not count |
      | c       | counts         |

  Scenario: Leases that an owner extends on its last proof end before its successor's wait
    Guards against constants that no longer fit each other.
    Given leases of 5.5 seconds on a worker's clock that runs 2 percent slow
    Then leases extended on a proof from just before the claim end before the successor's wait

  Scenario: An instance knows whether the owner asks it
    Guards against a wait that is too short for an owner that doesn't ask the claiming instance.
    Given an instance that knows an owner with token 3
    Then a claim takes the owner as "unaware"
    When the owner row with token 4 lists this instance
    Then a claim takes the owner as "asks-peers"
    When the heartbeat with token 4 lists no other instance
    Then a claim takes the owner as "unaware"
    When the heartbeat with token 4 lists this instance
    Then a claim takes the owner as "asks-peers"
    When the owner row with token 5 lists no other instance
    Then a claim takes the owner as "unaware"
    When this instance knows the row of another process from before the claim
    Then a claim takes the owner as "unaware"
    When the owner's process has been replaced by another one
    Then a claim takes the owner as "ended"
    When the owner row with token 6 is of an earlier process of this instance
    Then a claim takes the owner as "ended"
    When the owner row with token 7 is from a claim of this instance that got no response
    Then a claim takes the owner as "ended"

  Scenario Outline: A claim doesn't wait for an owner whose process has given up its claim
    Guards against a minute in which tasks wait for workers that are gone: the response to a claim was
    lost, its process is about to claim again, and the instance that claims first has started since.
    Given an instance whose owner with token 3 doesn't list it, and answers pings as <process> process with <claim> claim that knows token <token>
    When the instance has pinged the owner
    Then a claim takes the owner as "<predecessor>"

    Examples:
      | process  | claim    | token | predecessor |
      | the same | another  | 3     | ended       |
      | another  | another  | 3     | ended       |
      | the same | the same | 3     | unaware     |
      | the same | another  | 2     | unaware     |
      | another  | another  | 2     | unaware     |

  Scenario: An owner that knows the end of its predecessor tells the next one
    Guards against a chain of owners that each inherit what is left of a minute, although the owner
    that it was meant for has ended.
    Given an instance that has taken over from an owner that doesn't list it
    When another process has written its member row at the former owner's name and address
    Then its heartbeat says that no earlier owner may act

  Scenario Outline: An owner that lists the former process of an instance can't go on without it
    Guards against a minute without starts after all instances but the owner's were restarted. A
    process that has left, or that an owner has removed, may not be listed any longer.
    Given an instance whose former process, at <address>, <state>
    When it has registered, and the heartbeat with token 3 lists its former process
    Then a claim takes the owner as "<predecessor>"

    Examples:
      | address         | state             | predecessor |
      | its address     | has ended         | asks-peers  |
      | another address | has ended         | unaware     |
      | its address     | has left          | unaware     |
      | its address     | has been removed  | unaware     |

  Scenario: An owner waits no longer once its predecessor knows it
    Guards against a minute without starts after a predecessor was cut off for some seconds: it was
    asked before the claim only.
    Given an instance that has taken over from an owner that lists nobody, and answers that it knows token 4
    Then 2.2 seconds later its heartbeat says that earlier owners may not act

  Scenario Outline: An owner waits no longer for those that its predecessor may have confirmed
    Guards against a minute without starts after an owner that got no response to its claim, and was
    not asked before the next claim. One that its own predecessor didn't ask proves nothing of that.
    Given an instance that has taken over from an owner without a heartbeat, whose row states <stated> seconds, and that answers that it knows token <token>
    Then 0.7 seconds later its heartbeat says that earlier owners may act
    And 1.5 seconds later its heartbeat says that earlier owners <may> act

    Examples:
      | stated | token | may     |
      | 1.212  | 4     | may not |
      | 1.212  | 3     | may     |
      | 61.812 | 4     | may     |

  Scenario Outline: An owner waits for no earlier one once all instances know it
    Guards against a minute without starts after a row by the third owner in a row that stated it: each
    relied on what the former one had allowed for. A first read that may be stale may miss an instance.
    Given reads may be <stale> seconds stale
    And an instance that has taken over from an owner without a heartbeat, whose row states 61.812 seconds, and that answers that it knows token 4
    And the instances that know the new owner are <known>, and <unknown> don't answer, while <removed> is removed
    Then 2.2 seconds later its heartbeat says that earlier owners <may> act

    Examples:
      | known     | unknown | removed | stale | may     |
      | it, third | none    | none    | 0.5   | may not |
      | it, third | none    | none    | 6.0   | may     |
      | it        | third   | none    | 0.5   | may     |
      | it        | none    | third   | 0.5   | may     |

  Scenario Outline: An owner's workers end its wait for earlier owners that ask theirs
    Guards against a minute without starts after all earlier instances are lost, and against too short
    a wait for an owner of the build before, which acts without its workers.
    Given an instance that has taken over from an owner that is lost, and whose row says that it <asks> its workers
    When its workers show that no earlier owner acts
    Then its row says that it and all earlier owners <ask> their workers
    And 1.5 seconds later its heartbeat says that earlier owners <may> act

    Examples:
      | asks         | ask       | may     |
      | asks         | ask       | may not |
      | doesn't ask  | don't ask | may     |

  Scenario Outline: An owner waits no longer once a peer of its predecessor knows it
    Guards against a minute without starts after an owner that was lost for good had no time to list
    an instance that had just started. A peer that leaves may not be listed any longer.
    Given an instance that has taken over from an owner that lists only a third, at whose address process <process> answers that it knows token <token> and <state>
    Then 0.7 seconds later its heartbeat says that earlier owners may act
    And 1.5 seconds later its heartbeat says that earlier owners <may> act

    Examples:
      | process | token | state  | may     |
      | third   | 4     | stays  | may not |
      | third   | 3     | stays  | may     |
      | third   | 4     | leaves | may     |
      | later   | 4     | stays  | may     |

  Scenario: An instance that the owner doesn't list lets those that it lists claim first
    Guards against a long wait for an owner that may go on without asking the claiming instance.
    Given an instance that knows an owner with token 3
    And the store has been available for 60 seconds
    When the heartbeat with token 3 lists no other instance
    Then it claims 3.3 seconds after that, and not 3.1
    When the heartbeat with token 3 lists this instance
    Then it claims 2.3 seconds after that, and not 2.1

  Scenario: A claim allows for the owners before the last one
    Guards against a chain of short ownerships, whose first owner still acts when the third begins.
    Given an instance that knows an owner with token 3
    When a row with token 4 says that earlier owners may act for 1.2 seconds
    And a heartbeat with token 4 arrives 0.0 seconds later
    Then a claim 0.2 seconds later allows for 1.0 seconds of owners before
    And a claim 3.0 seconds later allows for 0.0 seconds of owners before

  Scenario: A claim doesn't rely on an owner that may not know of its own claim
    Guards against a former owner that asks that instance, and not the one that claims next: it is
    told of no later owner, for as long as the answer to the claim is missing.
    Given an instance that knows an owner with token 3
    When a row with token 4 says that earlier owners may act for 1.2 seconds
    Then a claim 3.0 seconds later allows for 58.812 seconds of owners before
    When a heartbeat with token 4 arrives 3.0 seconds later
    Then a claim 3.2 seconds later allows for 1.0 seconds of owners before

  Scenario: A claim that this instance didn't notice costs no long wait
    Guards against half a minute without starts after a claim whose answer was lost.
    Given an instance that knows an owner with token 3
    When the heartbeat with token 3 lists this instance
    And a claim of this instance with token 4 has been carried out without its knowledge
    Then a claim takes the owner as "ended"
    And a claim 0.2 seconds later allows for 1.012 seconds of owners before

  Scenario Outline: A restarted owner doesn't wait long for the owners before it
    Guards against a minute without starts, when all instances are killed soon after a claim.
    Given an instance that has just started
    When it reads the row of an earlier process of it with token 3 and <authority> seconds
    Then a claim 0.2 seconds later allows for <allowed> seconds of owners before
    When a heartbeat with token 3 and 0.0 seconds arrives
    Then a claim 0.2 seconds later allows for 0.0 seconds of owners before

    Examples:
      | authority | allowed |
      | 0.0       | 1.012   |
      | 1.212     | 1.012   |
      | 61.812    | 61.612  |

  Scenario Outline: A started instance relies on a claim that allowed for no earlier owner
    Guards against a minute without starts after an owner that was handed the ownership and was lost
    before its first heartbeat. Where the claim allowed for a predecessor, its process may have
    confirmed that one without knowing of its claim.
    Given an instance that has just started
    When it reads the row of an owner elsewhere with token 3 and <authority> seconds
    Then a claim 0.2 seconds later allows for <allowed> seconds of owners before

    Examples:
      | authority | allowed |
      | 0.0       | 0.0     |
      | 1.212     | 61.612  |

  Scenario Outline: A claim of unknown outcome after an owner that has ended costs no long wait
    Guards against a minute without starts after all instances were lost within seconds of a claim. Its
    owner may not know of it, but only a predecessor that still runs could be confirmed.
    Given an instance that has just started
    When it reads the row of an owner elsewhere with token 3 and 1.212 seconds, whose predecessor <state>
    Then a claim 0.2 seconds later allows for <allowed> seconds of owners before

    Examples:
      | state                        | allowed |
      | has been replaced since      | 1.012   |
      | had been replaced before     | 61.612  |
      | runs at another address      | 61.612  |

  Scenario Outline: A new owner waits for what earlier owners may have extended
    Guards against tasks that start elsewhere while their leases last, and against a long wait for an
    owner that has ended.
    Given a takeover with authority of <authority> and <inherited> seconds, and leases of 4.9 seconds
    When the predecessor ends <ends> seconds after the claim
    Then the leases of earlier owners have expired <expired> seconds after the claim, and not before

    Examples:
      | authority | inherited | ends | expired |
      | 0.0       | 0.0       | 0.5  | 4.9     |
      | 1.2       | 0.0       | 9.0  | 6.1     |
      | 31.2      | 0.0       | 0.5  | 5.4     |
      | 31.2      | 1.2       | 0.5  | 6.1     |
