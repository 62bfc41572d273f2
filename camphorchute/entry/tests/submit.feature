Feature: Submit and resubmit a job
  A caller names each job with an idempotency key. The same key and body may be sent
  again at any entry process; every task starts at most once.

  Background:
    Given a zone with two entry processes and a service

  Scenario: A resubmission through another entry process
    When a caller submits a job of 20 tasks through the first entry process
    And the caller submits the same job again through the second entry process
    Then both answers are complete and equal
    And every task has started once

  Scenario: Many resubmissions while the job runs
    When a caller submits a job of 5 tasks 12 times concurrently through both entry processes
    Then all answers are complete and equal
    And every task has started once

  Scenario: Another body under the same key
    When a caller submits a job of 2 tasks through the first entry process
    And the caller submits a job of 3 tasks under the same key through the second entry process
    Then the second answer is the refusal "key_conflict" that says "not run"
    And every task has started once
