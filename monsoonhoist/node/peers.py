"""Message streams between this instance and the other instances.

Each instance maintains streams to its neighbours, opens one to any other instance when it has a
message for it, and sends only on streams that it opened. Heartbeats are acknowledged on the same
stream; without acknowledgements it is closed, so that a broken network path is detected.
"""

import asyncio
import datetime
import logging
from collections.abc import Callable

import msgspec
from tornado import iostream, tcpclient, tcpserver

from monsoonhoist import errors, metrics, settings
from monsoonhoist.core import clock, data, messages
from monsoonhoist.node import streams

RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 2.0
# Streams to instances that are not neighbours are closed after being unused for this long.
IDLE_TIMEOUT_SECONDS = 5.0
QUEUED_MESSAGES_MAX = 256

_log = logging.getLogger(__name__)
_STREAM_ERRORS = (iostream.StreamClosedError, iostream.StreamBufferFullError, OSError)


class PeerOptions(msgspec.Struct, frozen=True):
    """Settings of the streams.

    Attributes:
        deployment: Name of the deployment, which must be the same on both sides.
        frame_bytes: Maximum length of an accepted frame.
        buffer_bytes: Maximum number of received bytes buffered; bytes to send are not limited.
        heartbeat: Interval between heartbeats.
        silence: Timeout for connecting, for the greeting and for acknowledgements of heartbeats.
    """

    deployment: str
    frame_bytes: int
    buffer_bytes: int
    heartbeat: datetime.timedelta
    silence: datetime.timedelta


class PeerListener:
    """Receives messages and events of the streams; implemented by the node."""

    def handle_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Handles a message from an instance."""

    def handle_stream_change(self, member: data.Member, is_up: bool) -> None:
        """Handles that the stream to an instance was established or failed."""

    def handle_unsent(self, instance: data.InstanceId, message: messages.Message) -> None:
        """Handles that no byte of a message was sent."""

    def handle_idle_close(self, instance: data.InstanceId) -> None:
        """Handles that an unused stream was closed."""

    def find_member(self, instance: data.InstanceId) -> data.Member | None:
        """Returns an instance's membership record, or None if it is not known."""

    def local_member(self) -> data.Member:
        """Returns this instance's own membership record."""

    def tables_digest(self) -> bytes:
        """Returns the digest of the current tables' revisions."""

    def latest_read_report(self) -> messages.ConfigReadReport | None:
        """Returns the latest known reply of the configuration service, or None."""


class PeerStreams:
    """Opens, accepts and closes all streams of an instance.

    Args:
        options: Settings of the streams.
        time_source: The clock.
        counters: Metrics of this instance.
        listener: Receives messages and changes of the streams.
    """

    def __init__(
        self,
        options: PeerOptions,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        listener: PeerListener,
    ):
        self._options = options
        self._clock = time_source
        self._counters = counters
        self._listener = listener
        self._stream_by_id: dict[data.InstanceId, OutboundStream] = {}
        self._server = InboundServer(options, listener)

    def listen(self, host: str, port: int) -> None:
        """Accepts streams on an address."""
        self._server.listen(port, address=host)

    def set_neighbours(self, members: tuple[data.Member, ...]) -> None:
        """Maintains streams to these neighbours; others stay open only while in use."""
        neighbours = {member.instance for member in members}
        for instance in list(self._stream_by_id):
            stream = self._stream_by_id[instance]
            stream.is_persistent = instance in neighbours
            member = self._listener.find_member(instance)
            if member is None or _address(member) != _address(stream.member):
                self._stream_by_id.pop(instance).close()
        for member in members:
            if member.instance not in self._stream_by_id:
                self._open(member, is_persistent=True)

    def connected_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances whose streams are up, sorted."""
        return tuple(sorted(name for name, stream in self._stream_by_id.items() if stream.is_up))

    def send(self, instance: data.InstanceId, message: messages.Message) -> bool:
        """Sends a message to an instance.

        Returns:
            Whether the message was queued; if False, no byte of it will be sent.
        """
        stream = self._stream_by_id.get(instance)
        if stream is not None:
            return stream.send(message)
        member = self._listener.find_member(instance)
        return member is not None and self._open(member, is_persistent=False).send(message)

    def _open(self, member: data.Member, is_persistent: bool) -> "OutboundStream":
        """Creates a stream to an instance and starts connecting it."""
        stream = OutboundStream(
            member,
            is_persistent,
            self._options,
            self._clock,
            self._counters,
            self._listener,
            self._close_idle,
        )
        self._stream_by_id[member.instance] = stream
        stream.start()
        return stream

    def _close_idle(self, instance: data.InstanceId) -> None:
        """Closes an unused stream."""
        stream = self._stream_by_id.pop(instance, None)
        if stream is not None:
            stream.close()
            self._listener.handle_idle_close(instance)

    async def close(self) -> None:
        """Closes all streams."""
        self._server.stop()
        self._server.close_streams()
        for stream in self._stream_by_id.values():
            stream.close()
        self._stream_by_id.clear()


class OutboundStream:
    """Stream to one other instance, reconnected with backoff after each failure.

    Attributes:
        member: The other instance.
        is_persistent: Whether the stream stays open while unused.
        is_up: Whether the stream is established.
    """

    def __init__(
        self,
        member: data.Member,
        is_persistent: bool,
        options: PeerOptions,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        listener: PeerListener,
        close_idle: Callable[[data.InstanceId], None],
    ):
        self.member = member
        self.is_persistent = is_persistent
        self.is_up = False
        self._close_idle = close_idle
        self._queued: list[messages.Message] = []
        # A stream opened to send a message queues messages until its first connection attempt ends.
        self._is_queueing = not is_persistent
        self._last_used_at = time_source.monotonic()
        self._options = options
        self._clock = time_source
        self._counters = counters
        self._listener = listener
        self._stream: streams.MessageStream | None = None
        self._last_received_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts connecting."""
        self._task = asyncio.create_task(self._run(), name=f"link {self.member.instance}")

    def close(self) -> None:
        """Closes the stream permanently."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()

    def send(self, message: messages.Message) -> bool:
        """Queues a message for sending; returns whether it was queued."""
        self._last_used_at = self._clock.monotonic()
        if self._is_queueing and len(self._queued) < QUEUED_MESSAGES_MAX:
            self._queued.append(message)
            return True
        if not self.is_up or self._stream is None:
            return False
        try:
            sent = self._stream.send(message)
        except _STREAM_ERRORS as error:
            self._handle_loss(error)
            return False
        self._counters.count_stream_bytes(sent, type(message).__name__)
        return True

    async def _run(self) -> None:
        delay = RECONNECT_MIN_SECONDS
        while True:
            try:
                await self._open()
                delay = RECONNECT_MIN_SECONDS
                await asyncio.gather(self._read_replies(), self._send_heartbeats())
            except (*_STREAM_ERRORS, errors.ProtocolError, TimeoutError) as error:
                self._handle_loss(error)
            if self._is_idle():
                asyncio.get_running_loop().call_soon(self._close_idle, self.member.instance)
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_SECONDS, delay * 2)

    async def _open(self) -> None:
        """Connects and exchanges greetings."""
        silence = self._options.silence.total_seconds()
        tcp_stream = await tcpclient.TCPClient().connect(
            self.member.host,
            self.member.peer_port,
            max_buffer_size=self._options.buffer_bytes,
            timeout=self._options.silence,
        )
        self._stream = streams.MessageStream(tcp_stream, self._options.frame_bytes)
        self._stream.send(messages.Hello(self._options.deployment, self._listener.local_member()))
        hello = await asyncio.wait_for(self._stream.receive(), silence)
        _check_hello(hello, self._options.deployment)
        self._last_received_at = self._clock.monotonic()
        self.member = hello.member
        self.is_up = True
        _log.info("stream up", extra={"peer": self.member.instance})
        self._listener.handle_stream_change(self.member, True)
        self._flush_queue()

    def _flush_queue(self) -> None:
        """Sends the queued messages; reports them as unsent if the stream is not up."""
        self._is_queueing = False
        queued, self._queued = self._queued, []
        for message in queued:
            if not self.send(message):
                self._listener.handle_unsent(self.member.instance, message)

    async def _read_replies(self) -> None:
        """Reads acknowledgements of heartbeats."""
        while True:
            message = await self._stream.receive()
            self._last_received_at = self._clock.monotonic()
            if not isinstance(message, messages.HeartbeatReply):
                raise errors.ProtocolError(f"{type(message).__name__} instead of a heartbeat reply")

    async def _send_heartbeats(self) -> None:
        """Sends heartbeats; raises ``TimeoutError`` if they are no longer acknowledged."""
        period = self._options.heartbeat.total_seconds()
        sequence = 0
        while True:
            before = self._clock.monotonic()
            await asyncio.sleep(period)
            now = self._clock.monotonic()
            # A missing acknowledgement after a pause of this process is not the peer's failure.
            if now - before > 2 * period:
                self._last_received_at = now
            if now - self._last_received_at > self._options.silence.total_seconds():
                raise TimeoutError("no acknowledgement of a heartbeat in time")
            if self._is_idle():
                asyncio.get_running_loop().call_soon(self._close_idle, self.member.instance)
                return
            sequence += 1
            heartbeat = messages.Heartbeat(
                sequence, self._listener.tables_digest(), self._listener.latest_read_report()
            )
            # The label of heartbeats in the metric; other messages have the name of their class.
            self._counters.count_stream_bytes(self._stream.send(heartbeat), "Beat")

    def _is_idle(self) -> bool:
        """Returns whether the stream is unused and may be closed."""
        unused = self._clock.monotonic() - self._last_used_at
        return not self.is_persistent and unused > IDLE_TIMEOUT_SECONDS

    def _handle_loss(self, error: Exception) -> None:
        was_up = self.is_up
        self._disconnect()
        if was_up:
            extra = {"peer": self.member.instance, "error": str(error)}
            _log.warning("stream lost", extra=extra)
        self._listener.handle_stream_change(self.member, False)
        self._flush_queue()

    def _disconnect(self) -> None:
        self.is_up = False
        if self._stream is not None:
            self._stream.close()
            self._stream = None


class InboundServer(tcpserver.TCPServer):
    """Accepts streams from other instances and reads their messages.

    Args:
        options: Settings of the streams.
        listener: Receives the messages.
    """

    def __init__(self, options: PeerOptions, listener: PeerListener):
        super().__init__(max_buffer_size=options.buffer_bytes)
        self._options = options
        self._listener = listener
        self._streams: set[streams.MessageStream] = set()

    async def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Reads messages from a stream until it ends."""
        message_stream = streams.MessageStream(stream, self._options.frame_bytes)
        self._streams.add(message_stream)
        try:
            await self._serve(message_stream)
        except errors.ProtocolError as error:
            _log.warning("stream refused", extra={"peer": address[0], "error": str(error)})
        except (*_STREAM_ERRORS, TimeoutError):
            _log.debug("inbound stream ended", extra={"peer": address[0]})
        finally:
            self._streams.discard(message_stream)
            message_stream.close()

    def close_streams(self) -> None:
        """Closes all accepted streams."""
        for stream in list(self._streams):
            stream.close()

    async def _serve(self, stream: streams.MessageStream) -> None:
        silence = self._options.silence.total_seconds()
        hello = await asyncio.wait_for(stream.receive(), silence)
        _check_hello(hello, self._options.deployment)
        stream.send(messages.Hello(self._options.deployment, self._listener.local_member()))
        sender = hello.member.instance
        self._listener.handle_message(sender, messages.Members((hello.member,)))
        while True:
            message = await stream.receive()
            if isinstance(message, messages.Heartbeat):
                stream.send(messages.HeartbeatReply(message.sequence))
            self._listener.handle_message(sender, message)


def make_options(config: settings.Settings) -> PeerOptions:
    """Returns the settings of the streams from an instance's settings."""
    return PeerOptions(
        deployment=config.instance.deployment,
        frame_bytes=config.limits.frame_bytes,
        buffer_bytes=config.limits.stream_buffer_bytes,
        heartbeat=config.timing.heartbeat_ms,
        silence=config.timing.silence_ms,
    )


def make_member(config: settings.Settings, incarnation: data.Incarnation) -> data.Member:
    """Returns the membership record of a starting instance."""
    instance = config.instance
    return data.Member(
        instance=data.InstanceId(instance.name),
        incarnation=incarnation,
        version=0,
        state=data.MemberState.LIVE,
        host=str(instance.host),
        peer_port=instance.peer_port,
        zone=data.ZoneId(instance.zone),
    )


def _check_hello(message: messages.Message, deployment: str) -> None:
    """Raises ``ProtocolError`` unless the message is a greeting of the same deployment."""
    if not isinstance(message, messages.Hello):
        raise errors.ProtocolError("the first message is not a greeting")
    if message.deployment != deployment:
        raise errors.ProtocolError(f"greeting from another deployment: {message.deployment!r}")


def _address(member: data.Member) -> tuple[str, int]:
    return (member.host, member.peer_port)
