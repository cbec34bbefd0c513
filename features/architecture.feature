Feature: Architecture rules
  The decision core stays free of input, output and clocks, so that it can be model checked
  and replayed.

  Scenario: The core imports no adapter, clock or I/O module
    When the imports of the core are collected
    Then none of them is an adapter, a clock, an I/O module or a source of randomness

  Scenario: The decisions on queues import no adapter, clock or I/O module
    Guards against decisions that can't be played in virtual time.
    When the imports of the queues' decisions are collected
    Then none of them is an adapter, a clock, an I/O module or a source of randomness

  Scenario: The parts that serve the platform have no import circle
    Guards against modules that can only be understood, loaded and tested together.
    When the imports among the packages of the platform are collected
    Then they form no circle

  Scenario: Only the adapter knows the platform's names
    Guards against wire names that spread through the product.
    When the sources outside the adapter are searched for the platform's names
    Then none is found

  Scenario: A process on the platform loads nothing that it doesn't need
    Guards against restarts that take seconds on a small machine.
    When the program of the platform is imported by a new interpreter
    Then these modules are not loaded
      | module                             |
      | numpy                              |
      | aioprometheus                      |
      | grpc                               |
      | lavenderhook._internal.core.shard  |
      | lavenderhook._internal.core.routing |
