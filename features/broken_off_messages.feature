Feature: Documents, requests and messages that are broken off
  Whatever is read from a connection is taken only if it has arrived whole, as its length, its last
  chunk or the end of the connection in order tells.

  # Guards against documents without a length that count as whole after a reset.
  Scenario Outline: A document that ends with a reset is not taken, although it can be read
    Given a server that sends whole documents without a length and resets its connections
    Then <reader> takes none of them

    Examples:
      | reader                                 |
      | the client of the store, for a page,   |
      | the client of the store, for changes,  |
      | the client of the native configuration |
      | the client of the instance list        |
      | the client of the commands             |

  @fleet
  Scenario Outline: A caller's request that is broken off reaches no server
    When a caller sends a request with <sent>, and the connection is <ended>
    Then no server has received the request
    When the caller sends "GET" "/record/x"
    Then the status is 200

    Examples:
      | sent                        | ended  |
      | a part of its head          | closed |
      | a part of its head          | reset  |
      | a length and half its body  | closed |
      | a length and half its body  | reset  |
      | chunks without the last one | closed |
      | chunks without the last one | reset  |

  Scenario Outline: A message between instances that is broken off is not passed on
    Given a stream on which a message and <sent> arrive
    When the other side has <ended> it
    Then the first message has been passed on, and the loss of the stream

    Examples:
      | sent                          | ended  |
      | half of a second one          | closed |
      | half of a second one          | reset  |
      | half of the length of another | closed |
      | half of the length of another | reset  |

  # Guards against proxies of the soak that turn a reset into an end in order, and so hide it.
  Scenario Outline: The soak's proxy ends a connection as its other side did
    When <side> has <ended> a connection through a proxy of the soak after some data
    Then reading it <result>

    Examples:
      | side      | ended  | result                     |
      | its peer  | reset  | reports data, then a reset |
      | its peer  | closed | reports data, then its end |
      | the proxy | reset  | reports data, then a reset |
