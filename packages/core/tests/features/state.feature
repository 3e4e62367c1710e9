Feature: Outcomes that operators and callers read

  Scenario: Two operators change the same zone at the same time
    Given a zone that is in service
    When Ana and Binh both take the zone out from the same revision
    Then Ana reads that her change is in force
    And Binh reads the current revision as a conflict
    And every host has the zone out of service

  Scenario: A request is sent again after its answer was lost
    Given a request that ran and ended
    When the same id is submitted through another host
    Then the caller reads the first answer

  Scenario: A request is sent again after its id was forgotten
    Given a request that ran and ended
    When the id was forgotten and is submitted again
    Then the request may have run and is not accepted
