Feature: Exchanges with upstreams
  Every caller receives the complete answer to its own request and never another caller's.

  Scenario Outline: A broken answer reaches no caller and its connection is not used again
    Given an upstream on a raw socket
    When a request is dispatched to it and its answer is <fault>
    Then the dispatch fails as <failure> after it was sent, without an answer
    And the next request gets its own answer over a new connection

    Examples:
      | fault              | failure           |
      | short body         | truncated-answer  |
      | no response        | transport         |
      | half a head        | transport         |
      | no last chunk      | truncated-answer  |
      | no declared length | truncated-answer  |
      | not HTTP           | transport         |
      | two lengths        | transport         |
      | wrong id           | mismatched-answer |
      | two in one segment | transport         |

  Scenario: A stray second answer is not taken for the answer to the next request
    Given an upstream on a raw socket
    When a request is dispatched to it and its answer is late second response
    Then the dispatch is answered
    And the next request gets its own answer over a new connection

  Scenario: A late answer frees the slot and reaches nobody
    Given an upstream on a raw socket
    When a request with a deadline in 0.05 s is answered after 0.15 s
    Then the dispatch times out at its deadline and the upstream is released by the late answer
    And the next request gets its own answer

  Scenario: An upstream that never answers is released after the quarantine
    Given an upstream on a raw socket
    When a request with a deadline in 0.05 s is answered after 5 s
    Then the dispatch times out at its deadline and the upstream is released by the quarantine
    And the next request gets its own answer over a new connection

  Scenario: A pooled connection that the upstream has closed costs no request
    Given an upstream on a raw socket
    When a request is dispatched to it and its answer is right, then closed
    Then the dispatch is answered
    And the next request gets its own answer over a new connection

  Scenario: A connection is used for one request after another
    Given an upstream on a raw socket
    When a request is dispatched to it and its answer is right
    Then the dispatch is answered
    And the next request gets its own answer over the same connection

  Scenario: Nothing was sent to an upstream that accepts no connection
    Given an upstream on a raw socket that has stopped
    When a request is dispatched to it and its answer is right
    Then the dispatch fails as transport before anything was sent

  Scenario: More requests than connections wait for a connection
    Given an upstream on a raw socket
    When 6 requests are dispatched at once over at most 2 connections
    Then each gets its own answer and at most 2 connections were opened
