Feature: Responses that are broken off
  A response without a length ends with its connection. A connection that ends by a reset has broken
  it off, however much has arrived; so has any end before a length or the last chunk.

  # Guards against a reset that is lost before libcurl reads, so that it counts as a body's end.
  Scenario Outline: A response that is broken off is none, whatever its request
    Given a server with 1 connection that the client keeps
    When it breaks off its responses to requests of each kind with "<fault>"
    Then none of the calls has a response, and each request was received once

    Examples: by a reset, without a length
      | fault                                |
      | no length, none of it, reset         |
      | no length, half of it, reset         |
      | no length, all of it, reset          |
      | no length, none of it, reset at once |
      | no length, half of it, reset at once |
      | no length, all of it, reset at once  |

    Examples: by a reset, before an end that is stated
      | fault                       |
      | a length, none of it, reset |
      | a length, half of it, reset |
      | chunks, none of it, reset   |
      | chunks, half of it, reset   |
      | chunks, all of it, reset    |

    Examples: in order, before an end that is stated
      | fault                        |
      | a length, none of it, closed |
      | a length, half of it, closed |
      | chunks, none of it, closed   |
      | chunks, half of it, closed   |
      | chunks, all of it, closed    |

  Scenario Outline: A response that has arrived whole is one, however its connection ends then
    Given a server with 1 connection that the client keeps
    When it breaks off its responses to requests of each kind with "<fault>"
    Then each of the calls has a response with <share> of the body

    Examples:
      | fault                        | share |
      | no length, all of it, closed | 100%  |
      | a length, all of it, closed  | 100%  |
      | a length, all of it, reset   | 100%  |

    Examples: an early end in order, which is no other than that of a whole body
      | fault                         | share |
      | no length, none of it, closed | 0%    |
      | no length, half of it, closed | 50%   |

  Scenario Outline: A response that is broken off while the request is being sent is none
    Given a server that resets the connection <time> its response, before it has read the request
    Then no call with a body of 8000000 bytes has a response

    Examples:
      | time            |
      | at once after   |
      | some time after |

  Scenario Outline: Asking for the state of a connection leaves its error to the one that reads it
    Given a connection whose peer has <ended> it
    Then it counts as <state>, and reading it <result>

    Examples:
      | ended                 | state    | result                     |
      | reset                 | ended    | reports a reset            |
      | closed                | ended    | reports its end            |
      | written to and reset  | readable | reports data, then a reset |
      | written to and closed | readable | reports data, then its end |
      | left                  | quiet    | blocks                     |
