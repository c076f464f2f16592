Feature: The HTTP client sends the request of a call once
  libcurl resends a request, up to five times, if a kept connection ends before a byte of the
  response. A resend reaches the server without being allowed, and uses up other kept connections.

  Scenario Outline: A connection that ends in place of the response is a lost response
    Given a server with 4 connections that the client keeps
    When it ends the connection with "<fault>" instead of answering a "<method>" request
    Then it has received this request once
    And the call ends without a response after the request was sent
    And 4 requests at the same time open 1 new connection

    Examples:
      | fault | method |
      | lost  | GET    |
      | reset | GET    |
      | lost  | POST   |
      | reset | POST   |

  Scenario Outline: The request is not sent again if libcurl itself notices the end
    Given a server with 4 connections that the client keeps
    And the client does not check connections itself
    When it ends the connection with "<fault>" instead of answering a "GET" request
    Then it has received this request once
    And the call ends without a response after the request was sent

    Examples:
      | fault |
      | lost  |
      | reset |

  Scenario: A connection that ended while it was idle is replaced before the request is sent
    Given a server with 4 connections that the client keeps
    When it closes all of them
    Then 4 requests at the same time open 4 new connections

  Scenario: Other calls may be sent again
    Given a server with 4 connections that the client keeps
    When it ends the connection with "lost" instead of answering a "GET" request that may be resent
    Then it has received this request more than once

  Scenario Outline: A request target that would end the request line is not sent
    Given a server with 1 connection that the client keeps
    When a request with the target <target> is sent
    Then the client refuses it and can still send others

    Examples:
      | target                |
      | "/a b"                |
      | "/a\r\nX-Smuggled: 1" |
      | "a"                   |

  # Guards against an error in a callback of curl, after which the client made no call any more.
  Scenario: A connection whose descriptor was closed meanwhile does not count as ended
    Given a connection that was recorded and whose descriptor is closed
    Then it does not count as ended
