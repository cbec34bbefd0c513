Feature: Architecture rules
  The decision core is free of input, output and clocks, so that it can be model checked and
  replayed.

  Scenario: The core imports no adapter, clock or I/O module
    Guards against decisions that cannot be replayed.
    When the imports of the core are collected
    Then none of them is an adapter, a clock, an I/O module or a source of randomness

  Scenario: The queueing package imports no adapter, clock or I/O module
    Guards against decisions that cannot be run in virtual time.
    When the imports of the queueing package are collected
    Then none of them is an adapter, a clock, an I/O module or a source of randomness

  Scenario: The packages that serve the platform have no circular imports
    Guards against modules that can only be understood, loaded and tested together.
    When the imports among the packages of the platform are collected
    Then there are no circular imports

  Scenario: Platform wire names occur only in the adapter
    Guards against wire names that spread through the product.
    When the sources outside the adapter are searched for the platform's names
    Then none is found

  Scenario: A process on the platform loads no module that it does not need
    Guards against restarts that take seconds on a small machine.
    When the program of the platform is imported in a new interpreter
    Then these modules are not loaded
      | module                             |
      | numpy                              |
      | aioprometheus                      |
      | grpc                               |
      | lavenderhook._internal.core.shard  |
      | lavenderhook._internal.core.routing |
