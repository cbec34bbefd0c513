Feature: The addresses of an entry instance under clients that do not behave
  Crowds misuse one address of a real process. The small machine has 72 MB of memory, to which
  received bytes that are not yet read count. Nothing is checked that depends on the machine's speed.

  Scenario Outline: A crowd sends <what> to a path with a route
    Guards against a process that runs out of memory because of clients that do not behave.
    Given an entry instance on a small machine
    When 300 clients send <what> to a path with a route
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d11" is accepted afterwards and completes

    Examples:
      | what                                 |
      | bodies in one piece                  |
      | bodies in small pieces               |
      | bodies in chunks                     |
      | bodies far over the limit            |
      | chunks far over the limit            |
      | bodies of very many short items      |
      | heads of very many short fields      |
      | requests without reading the answers |
      | single bytes                         |
      | requests and reads single bytes      |
      | half of a head                       |

  Scenario Outline: A crowd sends <what> to a path without a route
    Guards against a process that runs out of memory because of clients that do not behave.
    Given an entry instance on a small machine
    When 300 clients send <what> to a path without a route
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d21" is accepted afterwards and completes

    Examples:
      | what                                 |
      | bodies in one piece                  |
      | bodies in small pieces               |
      | bodies in chunks                     |
      | bodies far over the limit            |
      | chunks far over the limit            |
      | bodies of very many short items      |
      | heads of very many short fields      |
      | requests without reading the answers |
      | single bytes                         |
      | requests and reads single bytes      |
      | half of a head                       |

  Scenario Outline: A crowd sends <what> to readiness
    Guards against a process that runs out of memory because of clients that do not behave.
    Given an entry instance on a small machine
    When 300 clients send <what> to readiness
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d31" is accepted afterwards and completes

    Examples:
      | what                                 |
      | bodies in one piece                  |
      | bodies in small pieces               |
      | bodies in chunks                     |
      | bodies far over the limit            |
      | chunks far over the limit            |
      | bodies of very many short items      |
      | heads of very many short fields      |
      | requests without reading the answers |
      | single bytes                         |
      | requests and reads single bytes      |
      | half of a head                       |

  Scenario Outline: A crowd sends <what> to metrics
    Guards against a process that runs out of memory because of clients that do not behave.
    Given an entry instance on a small machine
    When 300 clients send <what> to metrics
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d41" is accepted afterwards and completes

    Examples:
      | what                                 |
      | bodies in one piece                  |
      | bodies in small pieces               |
      | bodies in chunks                     |
      | bodies far over the limit            |
      | chunks far over the limit            |
      | bodies of very many short items      |
      | heads of very many short fields      |
      | requests without reading the answers |
      | single bytes                         |
      | requests and reads single bytes      |
      | half of a head                       |

  Scenario Outline: A crowd that mixes all kinds of misuse
    Guards against limits that hold for one kind of client alone.
    Given an entry instance on a small machine
    When a mixture of 300 clients misuses <place>
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d51" is accepted afterwards and completes

    Examples:
      | place                  |
      | a path with a route    |
      | a path without a route |
      | readiness              |
      | metrics                |
      | the peers' address     |

  Scenario Outline: More clients than descriptors connect
    Guards against connections that use up the descriptors that other calls of the process need.
    Given an entry instance on a machine with few descriptors
    When 300 clients send nothing to <place>
    Then the process lives within its machine's memory and descriptors
    And submission "0000000000000d61" is accepted afterwards and completes

    Examples:
      | place               |
      | a path with a route |
      | readiness           |
      | metrics             |
      | the peers' address  |

  Scenario: An operator sees which limit clients meet
    Guards against refusals without a trace, and against a crowd that fills the log.
    Given an entry instance on a small machine
    When 300 clients send bodies in one piece to a path with a route
    Then the metrics count clients limited by "body-budget"
    And the log has "client-limited" lines, but no more than 5 a second
