Feature: Keys of organisations
  Where the configuration has organisations, calls need a key of one of them, unless their route is
  public. A mistake in the list of organisations changes nothing that is in force.

  Scenario Outline: What can't be used of a declaration stays as it is in force
    Guards against a mistake in one entry that removes or adds keys, weights or limits, and against
    revocations that are lost because of a mistake in another part. An entry is given by its name, its
    keys, its weight and its limit; with "*", other keys may be in force elsewhere.
    Given the organisations "a k1,k2 2 10; b k3 1 5" are in force
    When a configuration declares "a k1,k5 3 20; b k3 1 5; c k4 1 5" with <change>
    Then the organisations in force are "<in force>"
    And an instance that starts with it has "<at start>"
    And the problems are at "<problems>", and none quotes a key

    Examples:
      | change                | in force                            | at start                            | problems                              |
      | nothing               | a k1,k5 3 20; b k3 1 5; c k4 1 5    | a k1,k5 3 20; b k3 1 5; c k4 1 5    |                                       |
      | 0.weight = -1         | a k1,k5 2 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.weight                      |
      | 0.weight = 1e400      | a k1,k5 2 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.weight                      |
      | 0.weight = "2"        | a k1,k5 2 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.weight                      |
      | 0.weight missing      | a k1,k5 2 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.weight                      |
      | 0.maxCount.cpu = -1   | a k1,k5 3 10; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.maxCount                    |
      | 0.apiKeys = 7         | a k1,k2 3 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.apiKeys                     |
      | 0.apiKeys missing     | a k1,k2 3 20; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.apiKeys                     |
      | 0.apiKeys.0 = ""      | a k1,k2,k5 3 20; b k3 1 5; c k4 1 5 | b k3 1 5; c k4 1 5; *               | tenants.0.apiKeys.0                   |
      | 0.apiKeys.1 = "k1"    | a k1 3 20; b k3 1 5; c k4 1 5       | a k1 3 20; b k3 1 5; c k4 1 5       |                                       |
      | 0.apiKeys = []        | a - 3 20; b k3 1 5; c k4 1 5        | a - 3 20; b k3 1 5; c k4 1 5        |                                       |
      | 0.name missing        | a k1,k2 2 10; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0.name                        |
      | 0 = 7                 | a k1,k2 2 10; b k3 1 5; c k4 1 5    | b k3 1 5; c k4 1 5; *               | tenants.0                             |
      | 1.name = "a"          | a k1 2 10; b k3 1 5; c k4 1 5       | c k4 1 5; *                         | tenants.0.name, tenants.1.name        |
      | 1.apiKeys.0 = "k1"    | a k1,k5 3 20; b - 1 5; c k4 1 5     | c k4 1 5; *                         | tenants.0.apiKeys, tenants.1.apiKeys  |
      | 1.apiKeys.0 = "k5"    | a k1 3 20; b - 1 5; c k4 1 5        | c k4 1 5; *                         | tenants.0.apiKeys, tenants.1.apiKeys  |
      | 1.apiKeys.0 = "k2"    | a k1,k5 3 20; b k2 1 5; c k4 1 5    | a k1,k5 3 20; b k2 1 5; c k4 1 5    |                                       |
      | 2.weight = null       | a k1,k5 3 20; b k3 1 5              | a k1,k5 3 20; b k3 1 5; *           | tenants.2.weight                      |
      | 2.apiKeys.0 = "k\n"   | a k1,k5 3 20; b k3 1 5              | a k1,k5 3 20; b k3 1 5; *           | tenants.2.apiKeys.0                   |
      | 2.apiKeys.0 = "k3"    | a k1,k5 3 20; b k3 1 5              | a k1,k5 3 20; *                     | tenants.1.apiKeys, tenants.2.apiKeys  |
      | every weight missing  | a k1,k5 1 20; b k3 1 5; c k4 1 5    | a k1,k5 1 20; b k3 1 5; c k4 1 5    |                                       |
      | the whole list = 7    | a k1,k2 2 10; b k3 1 5              | *                                   | tenants                               |
      | the whole list = null | a k1,k2 2 10; b k3 1 5              | *                                   | tenants                               |
      | the whole list = []   |                                     |                                     |                                       |

  Scenario Outline: An unknown key is denied only if no version in force can have it
    Guards against a 401 for a key that a missed version has added, and against known keys that are
    refused in an outage of the store unless the deployment asks for it.
    Given the organisations "a k1 1 5" are in force
    When a call with <key> is checked <knowledge>
    Then the result is <result>, and <strict result> with strict revocation

    Examples:
      | key    | knowledge                                   | result      | strict result |
      | "k1"   | by a configuration that is confirmed        | a           | a             |
      | "k2"   | by a configuration that is confirmed        | unknown     | unknown       |
      | no key | by a configuration that is confirmed        | missing     | missing       |
      | "k1"   | 4 s after its confirmation                  | a           | a             |
      | "k2"   | 4 s after its confirmation                  | unconfirmed | unconfirmed   |
      | no key | 4 s after its confirmation                  | unconfirmed | unconfirmed   |
      | "k1"   | 6 s after its confirmation                  | a           | unconfirmed   |
      | "k1"   | by an incomplete one                        | a           | a             |
      | "k2"   | by an incomplete one                        | unconfirmed | unconfirmed   |
      | no key | by an incomplete one                        | missing     | missing       |

  Scenario Outline: A bound of the revocation that can't be used ends the start
    Guards against a process that serves revoked keys because of a mistake in its settings.
    Then the settings with "<setting>" are refused, and "<message>" is named

    Examples:
      | setting                    | message             |
      | revokeMs = -1              | bounds.revokeMs=-1  |
      | revokeMs = nan             | bounds.revokeMs=nan |
      | revokeMs = inf             | bounds.revokeMs=inf |
      | strictRevocation = "maybe" | strictRevocation    |

  Scenario: The report of an unexpected failure quotes no key
    Guards against tracebacks with the values of variables, among them organisations.
    Given the organisations "a k1 1 5" are in force
    When a log reports a failure in a function that holds them
    Then the log has the traceback, and no key

  Scenario: Calls without a key of the active configuration have no effect
    Guards against keys that run work though they are missing, made up or revoked, also after a
    restart, and against keys in the logs.
    Given 2 entry instances and 2 queue workers
    When the owner has reached every worker
    And version 2 declares "a first-key,second-key 1 0; b other-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And every instance answers a call with "second-key" with 400 within 2.0 seconds
    And calls with no key and with "made-up-key" get 401, and nothing is stored
    When submission "00000000000000a1" is sent with "first-key" and again with "second-key"
    Then its row names the organisation "a", and it completes
    When version 3 declares "a first-key,third-key 1 0; b other-key 1 0"
    Then every instance answers a call with "second-key" with 401 within 2.0 seconds
    And every instance answers a call with "third-key" with 400 within 2.0 seconds
    And calls with no key and with "second-key" get 401, and nothing is stored
    When both instances are killed and started again
    Then every instance answers a call with "second-key" with 401 within 5.0 seconds
    And every instance answers a call with "third-key" with 400 within 5.0 seconds
    When 60 calls with "made-up-key" are sent to instance 0
    Then its log has at most 5 lines "call-unauthenticated" a second, and no log has a key
    And the metrics of instance 0 include
      | metric                                                                          |
      | lavenderhook_decisions_total{decision="call-unauthenticated",reason="unknown"} 6 |

  Scenario Outline: A revocation reaches instances that the store turns away
    Guards against a revoked key that is served for as long as the store turns an instance away.
    Given 4 entry instances and 1 queue workers
    When the owner has reached every worker
    And version 2 declares "a first-key,second-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And every instance answers a call with "second-key" with 400 within 2.0 seconds
    When the store's mode towards instances 1 and 2 becomes <mode>
    And 1.0 seconds of real time pass
    And version 3 declares "a first-key,third-key 1 0"
    Then every instance answers a call with "second-key" with 401 within 7.0 seconds
    And every instance takes submissions with "third-key" within 7.0 seconds

    Examples:
      | mode   |
      | busy   |
      | silent |

  Scenario: Known keys are served in an outage of the whole store, unknown ones are not denied
    Guards against callers that are refused for good by an instance that may have missed their key.
    Given 2 entry instances and 1 queue workers
    When the owner has reached every worker
    And version 2 declares "a first-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And every instance answers a call with "first-key" with 400 within 2.0 seconds
    When submission "00000000000000a1" is sent with "first-key" and again with "first-key"
    Then its row names the organisation "a", and it completes
    When the store's mode is busy
    And 3.5 seconds of real time pass
    Then every instance answers a GET of the submission with "first-key" with 200 within 1.0 seconds
    And every instance answers a GET of the submission with "made-up-key" with 503 within 1.0 seconds
    When the store's mode is up
    Then every instance answers a call with "made-up-key" with 401 within 3.0 seconds

  Scenario: A strict deployment serves no key while it may miss a revocation
    Guards against a revoked key that is served in an outage although the deployment forbids it.
    Given 1 entry instances with the bounds "strictRevocation = true" and "revokeMs = 2000"
    When the owner has reached every worker
    And version 2 declares "a first-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And every instance answers a call with "first-key" with 400 within 2.0 seconds
    When the store's mode is busy
    And 3.5 seconds of real time pass
    Then every instance answers a call with "first-key" with 503 within 1.0 seconds
    When the store's mode is up
    Then every instance answers a call with "first-key" with 400 within 3.0 seconds

  Scenario: A mistake in the list of organisations changes nothing in force
    Guards against organisations that lose their access because of a mistake in an entry, and against
    a line in the log for each time that the configuration is read.
    Given 2 entry instances and 1 queue workers
    When the owner has reached every worker
    And version 2 declares "a first-key,second-key 1 0; b other-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And every instance answers a call with "other-key" with 400 within 2.0 seconds
    When version 3 declares "a first-key 1 0; b other-key 1 0; c third-key 1 0" with 0.weight = -1
    Then every instance answers a call with "second-key" with 401 within 2.0 seconds
    And every instance answers a call with "third-key" with 400 within 2.0 seconds
    When version 4 declares "a first-key 1 0; b other-key 1 0" with the whole list = 7
    And the store truncates its change history
    And 2.0 seconds of real time pass
    Then every instance answers a call with "first-key" with 400 within 1.0 seconds
    And every instance answers a call with "third-key" with 400 within 1.0 seconds
    And every instance answers a call with "made-up-key" with 401 within 9.0 seconds
    And each log has one line "organisation-unreadable" for "tenants.0.weight" and one for "tenants"

  Scenario: Public routes and configurations without organisations need no key
    Guards against deployments without organisations that stop serving their callers.
    Given 1 entry instances and 1 queue workers
    When the owner has reached every worker
    And version 2 declares "a first-key 1 0" and "/jobs/" is public
    And 1.0 seconds of real time pass
    Then a GET of "/jobs/00000000000000a4" is answered with 410
    When version 3 declares "a first-key 1 0"
    Then every instance answers a call with "made-up-key" with 401 within 2.0 seconds
    And a GET of "/nowhere/00000000000000a4" is answered with 404
    When version 4 of the configuration adds "/more/"
    Then every instance answers a call with "made-up-key" with 400 within 2.0 seconds
