Feature: Requests that run at most once

  Scenario: a repeat at another host gets the first answer
    Given a consorzio fleet of 3 hosts
    When editors posts "revise" with key k1 through host 1
    And editors posts "revise" with key k1 through host 2
    Then the last answer is 200 with outcome ran
    And the last answer repeats the first
    And the register holds 1 entries

  Scenario: the same key with another body is refused, and of another team it is another request
    Given a consorzio fleet of 2 hosts
    When editors posts "revise" with key k1 through host 1
    And editors posts "otherwise" with key k1 through host 2
    Then the last answer is 422, idempotency-conflict, with outcome not-run
    When guides-siracusa posts "revise" with key k1 through host 2
    Then the last answer is 200 with outcome ran
    And the register holds 2 entries

  Scenario: repeats at every host at once run once
    Given a consorzio fleet of 3 hosts
    When editors is posting "revise" with key k1 through host 1
    And editors is posting "revise" with key k1 through host 2
    And editors is posting "revise" with key k1 through host 3
    And editors is posting "revise" with key k1 through host 1
    And all callers are done
    Then the register holds 1 entries

  Scenario: a lost answer is unknown, and stays so for its repeat
    Given a consorzio fleet of 2 hosts
    When every register endpoint is set to "{\"loseAnswers\":1}"
    And editors posts "revise" with key k1 through host 1
    Then the last answer is 502, outcome-unknown, with outcome unknown
    When editors posts "revise" with key k1 through host 2
    Then the last answer is 502, outcome-unknown, with outcome unknown
    And the register holds 1 entries

  Scenario: without an idempotency key a lost answer is unknown and never retried
    Given a consorzio fleet of 2 hosts
    When every register endpoint is set to "{\"loseAnswers\":1}"
    And editors posts "revise" without a key through host 1
    Then the last answer is 502, outcome-unknown, with outcome unknown
    And the register holds 1 entries

  Scenario: a request that the service refused may be repeated
    Given a consorzio fleet of 2 hosts
    When every register endpoint is set to "{\"refuse\":1}"
    And editors posts "revise" with key k1 through host 1
    Then the last answer is 503, endpoint-refused, with outcome not-run
    When every register endpoint is set to "{\"refuse\":0}"
    And editors posts "revise" with key k1 through host 2
    Then the last answer is 200 with outcome ran
    And the register holds 1 entries

  Scenario: while the log is away keyed requests are refused and others served
    Given a consorzio fleet of 2 hosts
    When the platform is away
    And 1500 ms pass
    And editors posts "revise" with key k1 through host 1
    Then the last answer is 503, claims-unavailable, with outcome unknown
    When editors posts "revise" without a key through host 1
    Then the last answer is 200 with outcome ran
    When the platform is back
    And 1500 ms pass
    And editors posts "again" with key k2 through host 1
    Then the last answer is 200 with outcome ran
    And the register holds 2 entries

  Scenario: a host that freezes before its answer lets nobody run it again
    Given a consorzio fleet of 2 hosts
    When every register endpoint is set to "{\"delay\":1500}"
    And editors is posting "revise" with key k1 through host 1
    And 500 ms pass
    And host 1 is frozen
    And editors is posting "revise" with key k1 through host 2
    And 3000 ms pass
    And host 1 thaws
    And all callers are done
    Then the register holds 1 entries

  Scenario: a host that is killed before its answer leaves the outcome unknown
    Given a consorzio fleet of 2 hosts
    When every register endpoint is set to "{\"delay\":1500}"
    And editors is posting "revise" with key k1 through host 1
    And 500 ms pass
    And host 1 is killed
    And editors posts "revise" with key k1 through host 2
    Then the last answer is 409, idempotency-pending, with outcome unknown
    And the register holds 1 entries

  Scenario: answers that the log loses are settled by reading
    Given a consorzio fleet of 2 hosts
    When the platform loses 3 answers
    And editors posts "one" with key k1 through host 1
    And editors posts "two" with key k2 through host 2
    And editors posts "one" with key k1 through host 2
    Then the last answer is 200 with outcome ran
    And the register holds 2 entries
