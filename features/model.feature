Feature: Model checking of the core protocol
  Each part of the protocol holds in every state within the CI bounds, and each rule is needed:
  taking it out lets the checker find a trace to a violation.

  Scenario: The checker counts known protocols correctly
    When the checker explores protocols with known state counts
    Then every count and verdict is the known one

  Scenario Outline: The fault <fault> fails the run
    When a counter with a <fault> is checked
    Then the report shows only the <fault> and does not pass

    Examples:
      | fault                     |
      | surviving mutant          |
      | violated invariant        |
      | truncated search          |
      | unreachable witness       |
      | invariant without mutants |

  Scenario: A sound counter passes the run
    When a counter with a refuted mutant is checked
    Then the report passes

  Scenario Outline: The <specification> specification holds and refutes its mutants
    When the <specification> specification is checked at the CI bounds
    Then the search is exhaustive and no invariant is violated
    And every mutant is refuted
    And the traces on file are those found

    Examples:
      | specification |
      | tasks         |
      | claims        |
      | grants        |
      | shard         |
      | configuration |
      | leaving       |
