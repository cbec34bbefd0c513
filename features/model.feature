Feature: Model checking of the core protocol
  The invariants of each part of the protocol hold in every state within the CI bounds. Each rule
  is necessary: without it, the checker finds a trace that violates an invariant.

  Scenario: The checker counts the states of known protocols correctly
    When the checker explores protocols with known state counts
    Then every count and verdict is the known one

  Scenario Outline: The defect <fault> makes the check fail
    When a counter specification with a <fault> is checked
    Then the report shows only the <fault> and does not pass

    Examples:
      | fault                     |
      | surviving mutant          |
      | violated invariant        |
      | truncated search          |
      | unreachable witness       |
      | invariant without mutants |

  Scenario: A correct counter specification passes
    When a counter specification with a refuted mutant is checked
    Then the report passes

  Scenario Outline: The <specification> specification holds and its mutants are refuted
    When the <specification> specification is checked at the CI bounds
    Then the search is exhaustive, no invariant is violated and every witness is reached
    And every mutant is refuted and every invariant has one
    And the stored traces match the traces found

    Examples:
      | specification |
      | tasks         |
      | claims        |
      | grants        |
      | shard         |
      | configuration |
      | leaving       |
      | ownership     |
      | leases        |
      | witnesses     |
