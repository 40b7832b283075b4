Feature: What the hosts share outlasts each of them

  Scenario: requests are served while the platform is away
    Given a consorzio fleet of 3 hosts
    And all hosts are linked
    When the platform is away
    And 4000 ms pass
    And 12 callers of editors stream from phrase-suggestion
    Then every stream came whole
    And host 1 serves editors

  Scenario: a host that is cut off from the platform gets the configuration from another
    Given a consorzio fleet of 2 hosts
    And all hosts are linked
    When host 1 is cut off from the platform
    And zone catania is taken out
    Then all hosts have the same configuration

  Scenario: a holder that freezes reports nothing after its successor
    Given hosts with "--usage-window-milliseconds=1000"
    And a consorzio fleet of 3 hosts
    And all hosts are linked
    When another host than 0 holds "usage sicily"
    And 6 callers of editors stream from phrase-suggestion
    And all callers are done
    And the holder of "usage sicily" is frozen
    And a host that is not frozen holds "usage sicily"
    And the frozen host thaws
    And 6 callers of editors stream from phrase-suggestion
    Then every stream came whole
    And usage reports add up to what the engines ran
    And no window was reported with two sets of figures, nor by two holders

  Scenario: usage is reported to the token though answers are lost and a host leaves
    Given hosts with "--usage-window-milliseconds=1000"
    And a consorzio fleet of 3 hosts
    And all hosts are linked
    When 12 callers of editors stream from phrase-suggestion
    And the platform loses 4 answers
    And 1500 ms pass
    And host 2 is told to leave
    And host 2 leaves with code 0
    And 6 callers of editors stream from glossary-drafting
    Then every stream came whole
    And usage reports add up to what the engines ran
    And no window was reported with two sets of figures, nor by two holders

  Scenario: a window survives an outage of the log
    Given hosts with "--usage-window-milliseconds=1000"
    And a consorzio fleet of 3 hosts
    And all hosts are linked
    When 6 callers of editors stream from phrase-suggestion
    And all callers are done
    And the platform is away
    And 6 callers of editors stream from phrase-suggestion
    And 5000 ms pass
    And the platform is back
    Then every stream came whole
    And usage reports add up to what the engines ran
    And no window was reported with two sets of figures, nor by two holders
