Feature: Architecture rules
  The decision core stays free of input, output and clocks, so that it can be model checked
  and replayed.

  Scenario: The core imports no adapter, clock or I/O module
    When the imports of the core are collected
    Then none of them is an adapter, a clock, an I/O module or a source of randomness
