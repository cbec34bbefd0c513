Feature: The process of an entry instance

  Scenario: The example settings are valid
    Then the example settings in examples/entry-instance.toml pass the check

  Scenario: A process tells its address, serves and stops on SIGTERM
    Given a process of an entry instance that may take 0.5 s to shut down
    Then its first line has its name, incarnation and address
    And it is live but not ready, as no configuration is known
    When it gets SIGTERM
    Then it exits with 0 within 4 s
    And its log has one JSON object a line, from listening to stopped

  Scenario: Two processes of one instance have different incarnations
    Given a process of an entry instance that may take 0.5 s to shut down
    And another process of it
    Then their incarnations differ
