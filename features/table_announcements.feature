Feature: Announcements of table values
  Guards against links that are filled with announcements while hundreds of servers register.

  Scenario Outline: Values reach every instance over few streams
    Given <count> instances in <zones> availability zones, with cells of <size> and 6 other neighbours
    Then a value reaches all of them from each within <hops> hops, announced to at most <most> by each

    Examples:
      | count | zones | size | hops | most |
      | 7     | 4     | 1    | 2    | 6    |
      | 77    | 3     | 12   | 6    | 8    |
      | 112   | 3     | 16   | 6    | 8    |
      | 195   | 5     | 20   | 7    | 8    |

  Scenario: A peer that has announced a revision gets no announcement of it
    Given a revision announced by peer "a" before it is in force and by "b" after it
    Then it is announced to "c" alone of "a", "b" and "c"
