Feature: Keys

  Scenario: a withdrawn key ends its streams and is refused everywhere
    Given engines with "--token-milliseconds=100"
    And a consorzio fleet of 3 hosts
    When 6 callers of editors stream from glossary-drafting
    And 2 callers of guides-siracusa stream from glossary-drafting
    And 500 ms pass
    And the key of editors is withdrawn
    Then every stream of editors ended with key-withdrawn
    And every stream of guides-siracusa ended with whole
    And host 1 refuses editors with key-withdrawn
    And host 2 refuses editors with key-withdrawn
    And host 3 refuses editors with key-withdrawn

  Scenario: a host that is cut off from the platform learns it from another
    Given a consorzio fleet of 3 hosts
    And all hosts are linked
    When host 2 is cut off from the platform
    And the key of editors is withdrawn
    Then host 2 refuses editors with key-withdrawn
    And host 2 serves guides-siracusa
    When a host starts in catania
    Then host 4 refuses editors with key-withdrawn from its first answer on

  Scenario: a slow log delays a withdrawal but loses none
    Given a consorzio fleet of 2 hosts
    When the platform is 1000 ms slow
    And the key of editors is withdrawn
    Then host 1 refuses editors with key-withdrawn
    And host 2 refuses editors with key-withdrawn
    And host 1 serves guides-siracusa

  Scenario: no endpoint sees a key
    Given a consorzio fleet of 2 hosts
    When 4 callers of editors stream from phrase-suggestion
    And editors posts "one" with key k1 through host 1
    And editors looks up "/register/x?page=2" through host 2
    And drafting-1 is set to "{\"refuse\":true}"
    And 4 callers of editors stream from phrase-suggestion
    Then every stream came whole
    And no endpoint has seen a key
