Feature: Pages and examples agree with the code
  A setting, command or name that is documented but does not exist misleads whoever needs it in an
  incident.

  Scenario: The settings example is valid and has every setting
    Then examples/entry-instance.toml passes the check of the daemon
    And it has every setting of the daemon, each with a comment above

  Scenario: The settings table is the one of the settings structures
    Then docs/operators.md lists every setting with its default and no other

  Scenario: Documented names exist
    Then every log event and metric in docs/operators.md occurs in the code
    And every exit code of a failure is in docs/operators.md
    And every command of the tool in the pages exists
    And every link between the pages leads to a file
