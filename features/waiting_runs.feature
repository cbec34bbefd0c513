Feature: Waiting states end
  Simulations in virtual time, as in queueing.feature: several faults at once, and work that arrives
  after them, whose placement depends on what they have left behind.

  Scenario: What could run does run once all faults are over
    Guards against states of submissions, steps, runs and workers that keep work from starting and that
    nothing ends.
    When the random simulations 1 to 20 of waiting states are run
    Then no simulation violated an invariant

  Scenario Outline: Simulations of waiting states detect states that nothing ends
    Guards against a check that would pass whatever kept work from starting.
    When random simulations of waiting states run until one violates an invariant, with the fault: <fault>
    Then one of the first <count> simulations violated an invariant

    Examples:
      | fault                                         | count |
      | only a run that ends in time ends a probation | 20    |
      | a task avoids a worker without end            | 40    |
