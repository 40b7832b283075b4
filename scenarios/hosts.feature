Feature: Hosts come and go

  Scenario: a host that leaves cuts no stream and exits with 0
    Given a consorzio fleet of 2 hosts
    And all hosts are linked
    When 12 callers of editors stream from phrase-suggestion
    And 100 ms pass
    And host 1 is told to leave
    And a caller of editors streams from phrase-suggestion through host 1
    Then every stream came whole
    And host 1 leaves with code 0

  Scenario: two hosts that leave at once cut no stream
    Given a consorzio fleet of 3 hosts
    When 12 callers of editors stream from glossary-drafting
    And 100 ms pass
    And host 1 is told to leave
    And host 2 is told to leave
    And host 1 is told to leave
    Then every stream came whole
    And host 1 leaves with code 0
    And host 2 leaves with code 0
    And host 3 serves editors

  Scenario: the others serve on when a host is killed
    Given a consorzio fleet of 3 hosts
    And all hosts are linked
    When host 2 is killed
    And 12 callers of editors stream from phrase-suggestion
    Then every stream came whole

  Scenario: a newcomer serves after old records have expired
    Given hosts with "--snapshot-records=5"
    And a consorzio fleet of 3 hosts
    When another host than 0 holds "usage sicily"
    And zone catania is taken out
    And zone catania is brought back
    And zone siracusa is taken out
    And zone siracusa is brought back
    And 9000 ms pass
    And the platform keeps 8 records
    And zone catania is taken out
    And a host starts in palermo
    Then host 4 serves editors
    And all hosts have the same configuration
