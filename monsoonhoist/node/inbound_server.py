"""Server that accepts streams from other instances."""

import asyncio
import logging
from collections.abc import Callable

from tornado import netutil

from monsoonhoist import errors, metrics
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
        self._connection_by_instance: dict[data.InstanceId, InboundConnection] = {}
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

    def find(self, instance: data.InstanceId) -> "InboundConnection | None":
        """Returns a stream that an instance has opened and on which it accepts messages."""
        return self._connection_by_instance.get(instance)

    def _register(self, connection: "InboundConnection") -> None:
        """Records a stream after its greeting."""
        self._connection_by_instance[connection.sender] = connection

    def _forget(self, connection: "InboundConnection") -> None:
        """Removes a stream at its end."""
        self._connections.discard(connection)
        if self._connection_by_instance.get(connection.sender) is connection:
            del self._connection_by_instance[connection.sender]

    def _accept(self) -> streams.MessageStream:
        """Returns the protocol of a new connection."""
        connection = InboundConnection(
            self._options, self._listener, self._acknowledge, self._register, self._forget
        )
        self._connections.add(connection)
        return connection.stream


class InboundConnection:
    """A stream that another instance has opened.

    Args:
        options: Settings of the streams.
        listener: Receives the messages.
        acknowledge: Returns whether a heartbeat is acknowledged on another stream.
        register: Called after the greeting of an instance that accepts messages.
        forget: Called at the end of the stream.

    Attributes:
        stream: The stream.
        sender: The instance that opened the stream; None before its greeting.
    """

    def __init__(
        self,
        options: stream_protocol.PeerOptions,
        listener: stream_protocol.PeerListener,
        acknowledge: Acknowledge,
        register: Callable[["InboundConnection"], None],
        forget: Callable[["InboundConnection"], None],
    ):
        self._options = options
        self._listener = listener
        self._acknowledge = acknowledge
        self._register = register
        self._forget = forget
        self.sender: data.InstanceId | None = None
        self.stream = streams.MessageStream(
            options.frame_bytes, options.buffer_bytes, self._handle_message, self._handle_loss
        )
        self._greeting_timer = asyncio.get_running_loop().call_later(
            options.silence.total_seconds(), self.close
        )

    def send(self, message: messages.Message, counters: metrics.Metrics) -> bool:
        """Sends a message back on the stream; returns whether it was queued."""
        try:
            sent = self.stream.send(message)
        except errors.FrameTooLargeError as error:
            stream_protocol.log_unsent(self.sender, message, error)
            return False
        except errors.StreamError as error:
            self._handle_loss(error)
            return False
        counters.count_stream_bytes(sent, type(message).__name__)
        return True

    def close(self) -> None:
        """Closes the stream."""
        self._greeting_timer.cancel()
        self.stream.close()
        self._forget(self)

    def _handle_message(self, message: messages.Message) -> None:
        """Handles the greeting, and passes on all further messages."""
        if self.sender is None:
            stream_protocol.check_hello(message, self._options.deployment)
            self._greeting_timer.cancel()
            self.sender = message.member.instance
            greeting = messages.Hello(self._options.deployment, self._listener.local_member(), True)
            self.stream.send(greeting)
            if message.accepts_messages:
                self._register(self)
            self._listener.handle_message(self.sender, messages.Members((message.member,)))
            return
        is_heartbeat = isinstance(message, messages.Heartbeat)
        if is_heartbeat and not self._acknowledge(self.sender, message):
            self.stream.send(messages.HeartbeatReply(message.sequence))
        self._listener.handle_message(self.sender, message)

    def _handle_loss(self, error: Exception) -> None:
        extra = {"peer": self.stream.peer_host, "error": str(error)}
        if isinstance(error, errors.ProtocolError):
            _log.warning("stream refused", extra=extra)
        else:
            _log.debug("inbound stream ended", extra=extra)
        self.close()
