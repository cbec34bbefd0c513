Feature: What the listeners of a process hold for their clients
  The decisions on bodies and connections when a limit is reached, and the settings of the limits.

  Scenario Outline: A body that does not fit takes the place of those that stand still
    Guards against a crowd that stops short of its end and so keeps out a client that does not.
    Given a budget of 1000 bytes that holds the bodies "<held>"
    When 200 bytes of another body arrive in second 10
    Then "<dropped>" is dropped

    # Each body has a name, its bytes, and the second of its last progress; a complete one ends in !.
    Examples:
      | held                | dropped |
      | a=300@9 b=300@2     | nobody  |
      | a=500@9 b=500@2     | b       |
      | a=900@10 b=100@10   | a       |
      | a=20@2 b=900@5      | b       |
      | a=100@2 b=100@3     | nobody  |
      | a=150@2 b=150@3 c=700@10 | a b |
      | a=900@2! b=100@10   | nothing, and it is refused |
      | a=700@2! b=300@9    | b       |

  Scenario: Random bodies never hold more than the budget
    Guards against bytes that are counted twice, or never returned.
    Given a budget of 1000 bytes that holds the bodies ""
    When 5000 random pieces of bodies arrive, complete and leave, with seed 7
    Then no more than 1000 bytes were ever held, and none are held in the end

  Scenario Outline: A new connection closes the one whose client loses least
    Guards against connections that are held open and keep out new clients, and against closing one
    whose request may have been carried out.
    When a connection is added to "<connections>"
    Then connection "<closed>" is closed

    Examples:
      | connections                        | closed |
      | idle@3 reading@1 writing@1         | idle@3 |
      | idle@3 idle@2                      | idle@2 |
      | reading@5 reading@4 writing@1      | reading@4 |
      | answering@1 writing@2              | writing@2 |
      | answering@1 closing@9 idle@1       | closing@9 |
      | answering@1 answering@2            | none   |

  Scenario Outline: A crowd of new connections closes neither ordinary clients nor checks
    Guards against half heads of any age that keep their places while clients that have just
    connected lose theirs, and against a readiness check whose connection goes first.
    When a connection is added in second 10 to "<connections>", where <kept> stay longest
    Then connection "<closed>" is closed

    Examples:
      | connections                     | kept      | closed      |
      | idle@9.5 reading@5              | new ones  | reading@5   |
      | idle@9.5 idle@3 reading@1       | new ones  | idle@3      |
      | idle@9.5 writing@8              | new ones  | writing@8   |
      | idle@9.5 reading@9.25           | new ones  | idle@9.5    |
      | closing@9.5 idle@3              | new ones  | closing@9.5 |
      | idle@3 reading@9.75 reading@9.5 | idle ones | reading@9.5 |
      | idle@3 idle@2 writing@1         | idle ones | idle@2      |
      | idle@3 closing@9.5 reading@1    | idle ones | closing@9.5 |

  Scenario: Reports about clients are bounded
    Guards against a crowd that fills the log.
    When 8 clients reach a limit within one second, and 1 in the next, with 5 lines a second
    Then 6 lines are logged, and the last says that 3 were left out

  Scenario Outline: Refusals of clients that misuse an instance are bounded in its log
    Guards against a crowd that fills the log with one line for each request.
    When 100 events "<event>" happen within one second
    Then <count> of them are logged, among them the first

    Examples:
      | event                | count |
      | call-unauthenticated | 5     |
      | queue-unconfirmed    | 5     |
      | queue-unknown        | 5     |
      | run-started          | 100   |

  Scenario Outline: A limit that can't be is refused at the start
    Guards against a process that starts with a limit that every client meets, or none.
    When an instance on a machine of 160 MB and 1638 descriptors has the setting <name> = <value>
    Then the settings are refused, naming <name> and <value>

    Examples:
      | name                   | value |
      | intake.bodyMb          | 0.1   |
      | intake.bodyMb          | -1.0  |
      | intake.bodyMb          | 161.0 |
      | intake.connections     | 0     |
      | intake.connections     | 1439  |
      | intake.headerFields    | 3     |
      | intake.writeTimeoutMs  | 0.0   |
      | limits.memoryMb        | 10.0  |
      | limits.memoryMb        | -5.0  |
      | limits.fileDescriptors | 250   |

  Scenario: A machine of the smallest size serves 300 clients with the defaults
    Guards against limits that clients meet who keep to the platform's.
    When an instance on a machine of 160 MB and 1638 descriptors has no setting of its own
    Then 300 clients with bodies of 16384 bytes each fit

  Scenario: Without the machine's limits nothing is bounded
    Guards against a changed behaviour where the settings don't name the machine's limits.
    When an instance has settings without the machine's limits
    Then its listeners have no budget and close no stalled connections

  Scenario Outline: A body whose bytes are needed for others is refused as one that may be retried
    Guards against an answer that blames the client, and a limit that no report names.
    Given a listener with a budget of 2000 bytes for bodies
    When a body that is <framing> stands still after 1500 bytes, and 1200 others arrive
    Then the former is refused with 503 and Retry-After, the latter accepted

    Examples:
      | framing       |
      | chunked       |
      | of known size |

  Scenario Outline: What a listener bounds only where it is configured
    Guards against limits of the platform's instances that a listener of another deployment meets.
    Given a listener <configuration>
    When a client <does>
    Then it gets <answer>

    Examples:
      | configuration                      | does                          | answer                |
      | without limits of its own          | finds no free connection      | 503 and not-ready     |
      | that closes stalled connections    | finds no free connection      | 503 and intake-full   |
      | without limits of its own          | sends 4000 fields             | 200                   |
      | with 128 fields and 3 places more  | sends 4000 fields                | 200                 |
      | with 128 fields a request          | sends 4000 fields             | 413                   |
      | without limits of its own          | reads 20 MB after a pause     | all of it             |
      | with 1.0 s for 64 KB of a response | reads 20 MB after a pause     | a part of it          |
      | with 1.0 s for 64 KB of a response | reads 20 MB slowly            | all of it             |
      | without limits of its own          | sends two bodies of 60,000 bytes | 200 twice          |
      | with 16,384 unread bytes           | sends two bodies of 60,000 bytes | 200 once           |
