Feature: Operators publish declarations and take zones out of service

  Scenario: Applying shows the difference and the hosts that have it in force
    Given a declaration of zone "calama-b" in region "norte-grande"
    And 2 hosts that apply changes late
    When the operator applies the declarations
    Then the output contains "+ zone/calama-b (replaces nothing)"
    And the output contains "region: \"norte-grande\""
    And the output contains "not reached: late-1"
    And the output ends with "is in force on 1 of 1 hosts"
    And the exit code is 0

  Scenario: Applying the same declarations again changes nothing
    Given a declaration of zone "calama-b" in region "norte-grande"
    When the operator applies the declarations
    And the operator applies the declarations
    Then the output contains "nothing to publish"
    And the exit code is 0

  Scenario: Another operator publishes between plan and apply
    Given a declaration of zone "calama-b" in region "norte-grande"
    And a reviewed plan
    And another operator publishes zone "calama-b" first
    When the operator applies the plan
    Then the output contains "another operator published first"
    And the output contains "zone/calama-b is at revision 1"
    And zone "calama-b" is still in region "sur"
    And the exit code is 3

  Scenario: Taking a zone out shows progress
    Given 3 hosts that apply changes late
    When the operator takes zone "calama-b" out and waits
    Then the output contains "not reached: late-1, late-2"
    And the output ends with "is in force on 1 of 1 hosts"
    And the exit code is 0

  Scenario: Hosts that are not reached in time are listed
    Given 900 hosts that apply changes late
    When the operator takes zone "calama-b" out and waits 1 ms
    Then the output contains "late-898"
    And the exit code is 6
