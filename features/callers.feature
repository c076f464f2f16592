Feature: Answers of background callers are judged by what the instances were able to do
  On a machine under other load an instance may be paused. It then refuses requests until it has
  current tables; features/snapshots.feature failed because of such a refusal.

  Scenario Outline: A refusal as not ready is accepted only during a pause that the instance logged
    Given instance 1 has logged a pause from 10.0 s to 11.0 s and was ready at 11.5 s
    When a request that was sent to instance <instance> at <sent> s is refused as "<reason>" at <ended> s
    Then the refusal is <verdict>

    Examples:
      | instance | sent | ended | reason    | verdict  |
      | 1        | 9.9  | 10.9  | not_ready | accepted |
      | 1        | 11.2 | 11.3  | not_ready | accepted |
      | 1        | 11.6 | 11.7  | not_ready | judged   |
      | 1        | 9.0  | 9.9   | not_ready | judged   |
      | 2        | 10.5 | 10.6  | not_ready | judged   |
      | 1        | 10.5 | 10.6  | overload  | judged   |
