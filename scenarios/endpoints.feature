Feature: Endpoints fail, leave and turn cold

  Scenario: a stream whose connection is cut or silent is resumed
    Given engines with "--token-milliseconds=60"
    And hosts with "--between-events-bound-milliseconds=800"
    And a consorzio fleet of 2 hosts
    When 12 callers of editors stream from glossary-drafting
    And 400 ms pass
    And every drafting endpoint is set to "{\"cut\":true}"
    And 400 ms pass
    And every drafting endpoint is set to "{\"silence\":true}"
    Then every stream came whole

  Scenario: events that come doubled or crossed are dropped
    Given a consorzio fleet of 2 hosts
    When every drafting endpoint is set to "{\"doubled\":true}"
    And 8 callers of editors stream from phrase-suggestion
    Then every stream came whole

  Scenario: an engine that crashes costs its callers no more than what it had begun
    Given engines with "--prompt-milliseconds=1500"
    And a consorzio fleet of 2 hosts
    When 12 callers of editors stream from phrase-suggestion
    And 300 ms pass
    And drafting-1 crashes
    Then every stream came whole

  Scenario: a zone that is taken out gets no new work until it is back
    Given a consorzio fleet of 3 hosts
    When zone catania is taken out
    Then every host knows that zone catania is out
    When the starts are noted
    And 30 callers of editors stream from phrase-suggestion
    And a host starts in catania
    And a caller of editors streams from phrase-suggestion through host 4
    Then every stream came whole
    And drafting-2 has had no start since
    And drafting-5 has had no start since
    And drafting-1 has had starts since
    When zone catania is brought back
    And 500 ms pass
    And 30 callers of editors stream from phrase-suggestion
    Then every stream came whole
    And drafting-2 has had starts since

  Scenario: a leaving engine gets no new work
    Given a consorzio fleet of 3 hosts
    When drafting-1 is set to "{\"leaving\":true}"
    Then every host knows that drafting-1 is leaving
    When the starts are noted
    And 30 callers of editors stream from phrase-suggestion
    Then every stream came whole
    And drafting-1 has had no start since

  Scenario: an engine that turned cold gets no more than it bears
    Given a consorzio fleet of 3 hosts
    When drafting-1 is set to "{\"coldFor\":20000}"
    Then every host knows that drafting-1 is cold
    When 40 callers of editors stream from phrase-suggestion
    And 9000 ms pass
    And 40 callers of editors stream from phrase-suggestion
    And 40 callers of editors stream from glossary-drafting
    Then every stream came whole
    And drafting-1 never ran more than 1 while cold
