Feature: Pages and examples agree with the code
  A setting, command or name that is documented but does not exist misleads operators during an
  incident.

  Scenario: The settings example is valid and has every setting
    Guards against an example that an instance rejects, and against a new setting without an
    example.
    Then examples/entry-instance.toml passes the check of the daemon
    And it has every setting of the daemon, each with a comment above

  Scenario: The settings table matches the settings structures
    Guards against documented defaults that differ from those of the code.
    Then docs/operators.md lists every setting with its default and no other

  Scenario: Documented names exist in the code
    Guards against names and links that remain in the pages after a rename.
    Then every log event and metric in docs/operators.md occurs in the code
    And every exit code of a failure is in docs/operators.md
    And every command of the tool in the pages exists
    And every link between the pages leads to a file
