"""Server that accepts streams from other instances."""

import asyncio
import logging
from collections.abc import Callable

from tornado import netutil

from monsoonhoist import errors
from monsoonhoist.core import data
from monsoonhoist.node import stream_protocol, streams
from monsoonhoist.protocol import messages

# Not ``__name__``: operators select log lines of all streams by this name.
_log = logging.getLogger("monsoonhoist.node.peers")

Acknowledge = Callable[[data.InstanceId, messages.Heartbeat], bool]


class InboundServer:
    """Accepts streams from other instances and passes on their messages.

    Args:
        options: Settings of the streams.
        listener: Receives the messages.
        acknowledge: Returns whether a heartbeat of an instance is acknowledged on the stream in
            the other direction.
    """

    def __init__(
        self,
        options: stream_protocol.PeerOptions,
        listener: stream_protocol.PeerListener,
        acknowledge: Acknowledge,
    ):
        self._options = options
        self._listener = listener
        self._acknowledge = acknowledge
        self._connections: set[InboundConnection] = set()
        self._server_task: asyncio.Task[asyncio.Server] | None = None

    def listen(self, host: str, port: int) -> None:
        """Accepts streams on an address.

        Raises:
            OSError: If the address cannot be bound.
        """
        (socket,) = netutil.bind_sockets(port, address=host)
        serve = asyncio.get_running_loop().create_server(self._accept, sock=socket)
        self._server_task = asyncio.create_task(serve, name="inbound streams")

    def close(self) -> None:
        """Stops accepting streams and closes all accepted ones."""
        if self._server_task is not None and self._server_task.done():
            self._server_task.result().close()
        elif self._server_task is not None:
            self._server_task.cancel()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> streams.MessageStream:
        """Returns the protocol of a new connection."""
        connection = InboundConnection(
            self._options, self._listener, self._acknowledge, self._connections.discard
        )
        self._connections.add(connection)
        return connection.stream


class InboundConnection:
    """A stream that another instance has opened.

    Args:
        options: Settings of the streams.
        listener: Receives the messages.
        acknowledge: Returns whether a heartbeat is acknowledged on another stream.
        forget: Called at the end of the stream.

    Attributes:
        stream: The stream.
    """

    def __init__(
        self,
        options: stream_protocol.PeerOptions,
        listener: stream_protocol.PeerListener,
        acknowledge: Acknowledge,
        forget: Callable[["InboundConnection"], None],
    ):
        self._options = options
        self._listener = listener
        self._acknowledge = acknowledge
        self._forget = forget
        self._sender: data.InstanceId | None = None
        self.stream = streams.MessageStream(
            options.frame_bytes, options.buffer_bytes, self._handle_message, self._handle_loss
        )
        self._greeting_timer = asyncio.get_running_loop().call_later(
            options.silence.total_seconds(), self.close
        )

    def close(self) -> None:
        """Closes the stream."""
        self._greeting_timer.cancel()
        self.stream.close()
        self._forget(self)

    def _handle_message(self, message: messages.Message) -> None:
        """Handles the greeting, and passes on all further messages."""
        if self._sender is None:
            stream_protocol.check_hello(message, self._options.deployment)
            self._greeting_timer.cancel()
            self._sender = message.member.instance
            greeting = messages.Hello(self._options.deployment, self._listener.local_member())
            self.stream.send(greeting)
            self._listener.handle_message(self._sender, messages.Members((message.member,)))
            return
        is_heartbeat = isinstance(message, messages.Heartbeat)
        if is_heartbeat and not self._acknowledge(self._sender, message):
            self.stream.send(messages.HeartbeatReply(message.sequence))
        self._listener.handle_message(self._sender, message)

    def _handle_loss(self, error: Exception) -> None:
        extra = {"peer": self.stream.peer_host, "error": str(error)}
        if isinstance(error, errors.ProtocolError):
            _log.warning("stream refused", extra=extra)
        else:
            _log.debug("inbound stream ended", extra=extra)
        self.close()
