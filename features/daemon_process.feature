Feature: The process of an entry instance
  An entry instance is started as a process of its own.

  Scenario: The example settings are valid
    Guards against an example that an instance rejects after a setting has changed.
    Then the example settings in examples/entry-instance.toml pass the check

  Scenario: A process prints its address, serves and exits on SIGTERM
    Guards against a process that reports ready without a configuration, does not stop in time or
    writes log lines that tools cannot parse.
    Given a process of an entry instance with a shutdown period of 0.5 s
    Then its first line of output has its name, incarnation and address
    And it is live but not ready, as it has read no configuration
    When it receives SIGTERM
    Then it exits with status 0 within 4 s
    And its log has one JSON object per line, from listening to stopped

  Scenario: Two processes of one instance have different incarnations
    Guards against a restarted instance that its peers take for the previous process.
    Given a process of an entry instance with a shutdown period of 0.5 s
    And another process of the same instance
    Then their incarnations differ

  Scenario: The local demonstration ends with all its processes on SIGTERM
    Guards against instances that go on after the program which started them has been stopped.
    Given the local demonstration runs
    When the demonstration receives SIGTERM
    Then it and all processes that it started end within 10 seconds
