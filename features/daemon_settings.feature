Feature: Settings of the daemon
  An operator who mistypes a setting gets the name of the invalid key, and the daemon does not start
  with a default.

  Scenario Outline: An invalid setting is rejected by its name
    Guards against a mistyped key that is ignored, and against a message that does not identify the
    key.
    Given valid settings of the daemon
    When the settings change <from> to <to>
    Then the settings are rejected because of <key>, and the message names the file and the value

    Examples:
      | from                      | to                          | key                             |
      | region = "tas-south"      | regoin = "tas-south"        | instance.regoin                 |
      | name = "entry-1"          | name = 7                    | instance.name                   |
      | name = "entry-1"          | # name is left out          | instance.name                   |
      | listen = "127.0.0.1:0"    | listen = "localhost:0"      | instance.listen                 |
      | table = "127.0.0.1:9001"  | table = "127.0.0.1:0"       | platform.table                  |
      | table = "127.0.0.1:9001"  | table = "127.0.0.999:9001"  | platform.table                  |
      | seeds = []                | seeds = ["127.0.0.1"]       | peers.seeds[0]                  |
      | body_bytes = 1000         | body_bytes = 0              | limits.body_bytes               |
      | body_bytes = 1000         | default_deadline_seconds = 31 | limits.default_deadline_seconds |
      | format = "json"           | format = "xml"              | logging.format                  |
      | quarantine = 30.0         | quarantin = 30.0            | core.quarantin                  |
      | quarantine = 30.0         | quarantine = "long"         | core.quarantine                 |
      | quarantine = 30.0         | quarantine = -1             | core.quarantine                 |
      | team = "maps"             | teem = "maps"               | callers.desk.teem               |

  Scenario: A credential is never printed
    Guards against a credential in the output or the log when its setting is invalid.
    Given valid settings of the daemon
    When the settings change token = "token-of-desk" to token = "token-of-ann"
    Then the settings are rejected because of callers.desk.token, without the credential

  Scenario: The check option reports the result by its exit status
    Guards against a deployment script that proceeds with invalid settings.
    Given valid settings of the daemon
    Then the check of the settings exits with status 0
    And the check of settings with body_bytes = "many" exits with status 2
