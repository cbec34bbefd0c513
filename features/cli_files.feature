Feature: Offline checks of declaration files
  A mistake in a file is found before it reaches a cluster, and the message names the file, the
  declaration and the field.

  Scenario Outline: An invalid declaration is refused with its file, declaration and field
    Given a declaration file with <text>
    When the files are checked
    Then the check fails at <field>

    Examples:
      | text                                                                                                                                          | field                            |
      | [[workload]] ; name="w" ; type="batch" ; resources={processors=1} ; cuont=2                                                                   | workload.w.cuont                 |
      | [[workload]] ; name="w" ; type="batch" ; resources={cores=1}                                                                                  | workload.w.resources.cores       |
      | [[workload]] ; name="w" ; type="batch" ; resources={processors=1} ; count="two"                                                               | workload.w.count                 |
      | [[workload]] ; name="w" ; type="cron" ; resources={processors=1}                                                                              | workload.w.type                  |
      | [[workload]] ; name="w" ; type="batch"                                                                                                        | workload.w.resources             |
      | [[workload]] ; type="batch" ; resources={processors=1}                                                                                        | workload[0].name                 |
      | [[workload]] ; name="w" ; kind="policy" ; type="batch" ; resources={processors=1}                                                             | workload.w.kind                  |
      | [[workload]] ; name="w" ; type="batch" ; resources={processors=1} ; labels={Tier="a"}                                                         | workload.w.labels.Tier           |
      | [[selector]] ; name="s" ; target="placement" ; workers.requirements=[{key="a",values=["x"]},{key="a",operator="absent"}]                      | selector.s.workers               |
      | [[selector]] ; name="s" ; target="placement" ; workers.requirements=[{key="a",values=["x"]},{key="a",operator="not-in",values=["x"]}]         | selector.s.workers               |
      | [[selector]] ; name="s" ; target="policy" ; policy="nowhere"                                                                                  | selector.s.policy                |
      | [[selector]] ; name="s" ; target="policy"                                                                                                     | selector.s.policy                |
      | [[policy]] ; name="p" ; [[policy]] ; name="p"                                                                                                 | policy.p.name                    |
      | [[policy]] ; name="p" ; retry_budget=2                                                                                                        | policy.p.retry_budget            |
      | [[quota]] ; name="q" ; team="t" ; max_share=true                                                                                              | quota.q.max_share                |
      | [policy] ; name="p"                                                                                                                           | policy                           |
      | [[polciy]] ; name="p"                                                                                                                         | polciy                           |
      | [[policy] ; name="p"                                                                                                                          | file                             |

  Scenario: All errors of all files are reported together
    Given a declaration file with [[policy]] ; name="p" ; mode="fast"
    And a declaration file with [[quota]] ; name="q" ; [[quota]] ; name="r" ; team="t" ; weight=-1
    When the files are checked
    Then the check fails at policy.p.mode, quota.q.team, quota.r.weight

  Scenario: A name that two files declare is refused with the names of both files
    Given a declaration file with [[policy]] ; name="p"
    And a declaration file with [[policy]] ; name="p" ; max_queue=5
    When the files are checked
    Then the check fails at policy.p.name
    And the message names both files

  Scenario: The example files pass the check
    Then the files of examples/authority pass the check
    And the files of examples/ajala pass the check

  Scenario: Every command has a help text, and errors of usage, settings and connections give no traceback
    Then every command has a help text with its description
    And a command line with an unknown option exits with 2 and no traceback
    And a call without any address exits with 2 and no traceback
    And a call to an address without a listener exits with 7 and no traceback
    And a file with an unknown connection setting exits with 2 and no traceback
