Feature: Advice under load
  The advisory service handles one call at a time for each instance, also those that their callers
  have given up. Each step is answered soon after the service can answer it.

  In each scenario, 7 instances reach the service. A call for a gang takes 0.5 to 0.6 seconds, others
  take a twentieth of a second at most, and 10 such urgent steps arrive each second. Each step is
  allowed a third of the 24 workers.

  Scenario: Urgent steps don't wait behind gangs for advice
    Guards against urgent steps that wait for seconds behind calls which could as well wait for them.
    Given 24 workers, an owner and an advisory service behind 7 instances
    When 40 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 5.0 seconds
    And each urgent step was advised within 1.0 seconds
    And no call for advice was given up

  Scenario: Advice recovers after a takeover, while calls of the former owner still wait
    Guards against calls that are given up and sent again faster than the service handles them, so
    that it is busy with calls that nobody waits for, and no step starts beside free capacity.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 4 calls of 0.6 seconds wait at each instance, whose callers have gone
    When 20 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 8.0 seconds
    And each urgent step was advised within 5.0 seconds
    And at most 60 calls for advice were given up

  Scenario: Advice recovers after many calls whose callers have gone
    Guards against the same, with seven seconds of such calls at each instance and more gangs.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 12 calls of 0.6 seconds wait at each instance, whose callers have gone
    When 40 gangs arrive beside urgent steps for 15 seconds
    Then each gang was advised within 15.0 seconds
    And each urgent step was advised within 12.0 seconds
    And at most 120 calls for advice were given up

  Scenario: Advice recovers when the service is no longer slow
    Guards against the same after ten seconds in which each call took twice as long as published.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And calls for advice take 2.0 times as long for the next 10 seconds
    When 40 gangs arrive beside urgent steps for 15 seconds
    Then each gang was advised within 15.0 seconds
    And each urgent step was advised within 5.0 seconds
    And at most 120 calls for advice were given up

  Scenario: Advice recovers when the service is reached again
    Guards against calls that all go through the first instance that is answered again, while the
    others are avoided.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And no instance reaches the advisory service for the next 20 seconds
    When 40 gangs arrive beside urgent steps for 25 seconds
    Then each gang was advised within 27.0 seconds
    And each urgent step was advised within 24.0 seconds

  Scenario: Advice goes on through the instances that are left
    Guards against urgent steps that wait behind gangs for advice when instances are lost.
    Given 24 workers, an owner and an advisory service behind 7 instances
    And 3 instances don't reach the advisory service for the next 20 seconds
    When 40 gangs arrive beside urgent steps for 10 seconds
    Then each gang was advised within 8.5 seconds
    And each urgent step was advised within 2.5 seconds
    And at most 30 calls for advice were given up
