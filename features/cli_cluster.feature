Feature: The command-line tool on a cluster
  Operators and callers use real processes through the command-line tool only.

  Scenario: Declarations are planned and applied, and jobs are run and cancelled
    Given a cluster of two instances and the command-line tool
    And a declaration file with [[workload]] ; name="nightly" ; type="batch" ; count=2 ; run_seconds=0.2 ; resources={processors=1000}
    # A change is planned and accepted once; applying it again has no effect.
    When the tool runs plan FILES
    Then it exits with 0 and prints "+ workload/nightly"
    When the tool runs apply FILES --change-id first --expected 0
    Then it exits with 0 and prints "accepted as version 1"
    When the tool runs apply FILES --change-id first --expected 0
    Then it exits with 0 and prints "accepted before as version 1"
    When the tool runs apply FILES
    Then it exits with 0 and prints "nothing to change; version 1"
    When the tool runs plan FILES --output json
    Then it exits with 0 and its JSON has steps [] and unchanged 1
    # A change that is based on an older version must be refused.
    When the file changes count=2 to count=3
    And the tool runs apply FILES --change-id second --expected 0 --output json
    Then it exits with 5 and its JSON has error "configuration-conflict" and actual 1
    When the tool runs apply FILES --change-id first
    Then it exits with 5 and prints "duplicate-name"
    When the tool runs plan FILES
    Then it exits with 0 and prints "count: 2 -> 3"
    When the tool runs apply FILES --expected 1
    Then it exits with 0 and prints "accepted as version 2"
    # Reverting to earlier content must be accepted, although its content hash was used as an id.
    When the file changes count=3 to count=4
    And the tool runs apply FILES
    Then it exits with 0 and prints "accepted as version 3"
    When the file changes count=4 to count=3
    And the tool runs apply FILES
    Then it exits with 0 and prints "accepted as version 4"
    When the tool runs get workload nightly --output json
    Then it exits with 0 and its JSON has version 4
    When the tool runs history --limit 1
    Then it exits with 0 and prints "workload/nightly"
    # Jobs.
    When the tool runs submit --workload nightly --id night-1 --wait --timeout 30
    Then it exits with 0 and prints "done=3"
    When the tool runs submit --workload nightly --id night-1 --output json
    Then it exits with 0 and its JSON has job "night-1" and repeated true
    When the tool runs submit --id big --type batch --processors 900000
    Then it exits with 6 and prints "too-large"
    When the tool runs submit --id long --type batch --processors 20000 --count 60 --run-seconds 300
    Then it exits with 0 and prints "job long accepted"
    When the tool runs explain long/59
    Then it exits with 0 and prints "no-room"
    When the tool runs queue
    Then it exits with 0 and prints "long.59"
    When the tool runs wait long --timeout 0.1
    Then it exits with 10 and prints "wait-timeout"
    When the tool runs cancel long --output json
    Then it exits with 0 and its JSON has job "long" and not_run 36
    When the tool runs wait long --timeout 30
    Then it exits with 9 and prints "cancelled"
    When the tool runs status nobody --output json
    Then it exits with 3 and its JSON has error "not-found"
    When the tool runs request nobody /
    Then it exits with 7 and prints "not-run"
    # Views, credentials, pruning.
    When the tool runs summary --output json
    Then it exits with 0 and its JSON has one of shards
    When the tool runs instances --output json
    Then it exits with 0 and its JSON has two of instances
    When the tool runs workers
    Then it exits with 0 and prints "w-24"
    When the tool runs get --token not-a-token
    Then it exits with 4 and prints "unauthenticated"
    When the tool runs plan --delete workload/nightly
    Then it exits with 0 and prints "- workload/nightly"
    # A pattern that matches no file must not delete the whole configuration.
    When the tool runs apply --prune
    Then it exits with 2 and prints "at least one file"
    When the tool runs apply EMPTY --prune --change-id clean
    Then it exits with 0 and prints "accepted as version 5"
    When the tool runs apply EMPTY --prune --change-id clean
    Then it exits with 0 and prints "accepted before as version 5"
