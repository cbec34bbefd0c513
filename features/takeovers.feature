Feature: Takeovers in a row
  Simulations in virtual time, as in queueing.feature: owners replace each other within the leases of
  workers that some of them don't reach, and peers report submissions again, also ended ones.

  Scenario: Takeovers in a row violate no invariant
    Guards against second runs of a task that follow from what a new owner presumes: when a
    submission was stored, when a worker was closed, or that earlier owners have ended.
    When the random simulations 1 to 40 of takeovers in a row are run
    Then no simulation violated an invariant
    And all submissions ended in every simulation
