"""Streams to and from the other instances.

Each instance keeps streams to its neighbours, opens one to any other instance when it
has a message for it, and sends only on streams that it opened. Heartbeats are answered
on the same stream; one that stays silent is closed, so that a connection that lost its
path is noticed.
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
# Streams to instances that are no neighbours are closed when unused for this long.
IDLE_TIMEOUT_SECONDS = 5.0
QUEUED_MESSAGES_MAX = 256

_log = logging.getLogger(__name__)
_STREAM_ERRORS = (iostream.StreamClosedError, iostream.StreamBufferFullError, OSError)


class PeerOptions(msgspec.Struct, frozen=True):
    """Settings of the streams.

    Attributes:
        deployment: Name that both sides must have.
        frame_bytes: Longest frame taken.
        buffer_bytes: Most bytes queued on a stream.
        heartbeat: Period of heartbeats.
        silence: Longest time without any byte of an expected answer.
    """

    deployment: str
    frame_bytes: int
    buffer_bytes: int
    heartbeat: datetime.timedelta
    silence: datetime.timedelta


class PeerListener:
    """Receives what the streams tell; the node implements it."""

    def handle_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Takes a message from an instance."""

    def handle_stream_change(self, member: data.Member, is_up: bool) -> None:
        """Takes note of a stream to an instance that has come up or gone down."""

    def handle_unsent(self, instance: data.InstanceId, message: messages.Message) -> None:
        """Takes back a message of which no byte was sent."""

    def handle_idle_close(self, instance: data.InstanceId) -> None:
        """Takes note that an unused stream has been closed."""

    def find_member(self, instance: data.InstanceId) -> data.Member | None:
        """Returns an instance's record, or None if it is not known."""

    def local_member(self) -> data.Member:
        """Returns what this instance states of itself."""

    def tables_digest(self) -> bytes:
        """Returns the digest of the tables in force."""

    def latest_service_contact(self) -> messages.ServiceContact | None:
        """Returns the newest word of the configuration service, or None."""


class PeerStreams:
    """Owns all streams of an instance.

    Args:
        options: Settings.
        time_source: The clock.
        counters: Metrics.
        listener: Receives messages and changes.
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
        self._stream_by_instance: dict[data.InstanceId, Link] = {}
        self._server = InboundServer(options, listener)

    def listen(self, host: str, port: int) -> None:
        """Accepts streams on an address."""
        self._server.listen(port, address=host)

    def set_neighbours(self, members: tuple[data.Member, ...]) -> None:
        """Keeps streams to these neighbours, and those to others while they are used."""
        neighbours = {member.instance for member in members}
        for instance in list(self._stream_by_instance):
            link = self._stream_by_instance[instance]
            link.is_persistent = instance in neighbours
            member = self._listener.find_member(instance)
            if member is None or _address(member) != _address(link.member):
                self._stream_by_instance.pop(instance).close()
        for member in members:
            if member.instance not in self._stream_by_instance:
                self._open(member, is_persistent=True)

    def connected_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances whose streams are up, sorted."""
        return tuple(sorted(name for name, link in self._stream_by_instance.items() if link.is_up))

    def send(self, instance: data.InstanceId, message: messages.Message) -> bool:
        """Sends a message to an instance.

        Returns:
            Whether the message was queued; False if no byte of it will be sent.
        """
        link = self._stream_by_instance.get(instance)
        if link is not None:
            return link.send(message)
        member = self._listener.find_member(instance)
        return member is not None and self._open(member, is_persistent=False).send(message)

    def _open(self, member: data.Member, is_persistent: bool) -> "Link":
        """Starts opening a stream."""
        link = Link(
            member,
            is_persistent,
            self._options,
            self._clock,
            self._counters,
            self._listener,
            self._close_idle,
        )
        self._stream_by_instance[member.instance] = link
        link.start()
        return link

    def _close_idle(self, instance: data.InstanceId) -> None:
        """Closes a stream that has not been used."""
        link = self._stream_by_instance.pop(instance, None)
        if link is not None:
            link.close()
            self._listener.handle_idle_close(instance)

    async def close(self) -> None:
        """Closes all streams."""
        self._server.stop()
        self._server.close_streams()
        for link in self._stream_by_instance.values():
            link.close()
        self._stream_by_instance.clear()


class Link:
    """Stream opened to one instance, opened again whenever it ends.

    Attributes:
        member: The instance.
        is_kept: Whether the stream is kept while unused.
        is_up: Whether messages can be sent.
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
        # A stream opened for a message holds messages back until its first opening ends.
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
        """Starts opening the stream."""
        self._task = asyncio.create_task(self._run(), name=f"link {self.member.instance}")

    def close(self) -> None:
        """Ends the stream for good."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()

    def send(self, message: messages.Message) -> bool:
        """Queues a message; returns whether it was queued."""
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
        raw = await tcpclient.TCPClient().connect(
            self.member.host,
            self.member.peer_port,
            max_buffer_size=self._options.buffer_bytes,
            timeout=self._options.silence,
        )
        self._stream = streams.MessageStream(raw, self._options.frame_bytes)
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
        """Sends the messages held back, or hands them back if the stream is not up."""
        self._is_queueing = False
        waiting, self._queued = self._queued, []
        for message in waiting:
            if not self.send(message):
                self._listener.handle_unsent(self.member.instance, message)

    async def _read_replies(self) -> None:
        """Takes in the answers to heartbeats."""
        while True:
            message = await self._stream.receive()
            self._last_received_at = self._clock.monotonic()
            if not isinstance(message, messages.HeartbeatReply):
                raise errors.ProtocolError(f"{type(message).__name__} on the sending side")

    async def _send_heartbeats(self) -> None:
        """Sends heartbeats and ends a stream that stays silent."""
        period = self._options.heartbeat.total_seconds()
        sequence = 0
        while True:
            before = self._clock.monotonic()
            await asyncio.sleep(period)
            now = self._clock.monotonic()
            # A gap in this process's own time says nothing about the peer.
            if now - before > 2 * period:
                self._last_received_at = now
            if now - self._last_received_at > self._options.silence.total_seconds():
                raise TimeoutError("the stream is silent")
            if self._is_idle():
                asyncio.get_running_loop().call_soon(self._close_idle, self.member.instance)
                return
            sequence += 1
            beat = messages.Heartbeat(
                sequence, self._listener.tables_digest(), self._listener.latest_service_contact()
            )
            self._counters.count_stream_bytes(self._stream.send(beat), "Beat")

    def _is_idle(self) -> bool:
        """Returns whether the stream may be closed as unused."""
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
    """Accepts streams and reads their messages.

    Args:
        options: Settings.
        listener: Receives the messages.
    """

    def __init__(self, options: PeerOptions, listener: PeerListener):
        super().__init__(max_buffer_size=options.buffer_bytes)
        self._options = options
        self._listener = listener
        self._streams: set[streams.MessageStream] = set()

    async def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Reads one stream until it ends."""
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
        """Ends all streams."""
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
    """Returns the streams' part of an instance's settings."""
    return PeerOptions(
        deployment=config.instance.deployment,
        frame_bytes=config.limits.frame_bytes,
        buffer_bytes=config.limits.stream_buffer_bytes,
        heartbeat=config.timing.heartbeat_ms,
        silence=config.timing.silence_ms,
    )


def make_member(config: settings.Settings, incarnation: data.Incarnation) -> data.Member:
    """Returns what a starting instance states of itself."""
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
    """Raises ``ProtocolError`` unless the message greets from the same deployment."""
    if not isinstance(message, messages.Hello):
        raise errors.ProtocolError("the first message is not a greeting")
    if message.deployment != deployment:
        raise errors.ProtocolError(f"greeting from the deployment {message.deployment!r}")


def _address(member: data.Member) -> tuple[str, int]:
    return (member.host, member.peer_port)
