"""Outbound stream to another instance, reconnected after each failure."""

import asyncio
import logging
from collections.abc import Callable

from tornado import tcpclient

from monsoonhoist import errors, metrics
from monsoonhoist.core import clock, data, messages
from monsoonhoist.node import stream_protocol, streams

RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 2.0
# Streams to instances that are not neighbours are closed after being unused for this long.
IDLE_TIMEOUT_SECONDS = 5.0
QUEUED_MESSAGES_MAX = 256

# Not ``__name__``: operators select log lines of all streams by this name.
_log = logging.getLogger("monsoonhoist.node.peers")


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
        options: stream_protocol.PeerOptions,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        listener: stream_protocol.PeerListener,
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
        except stream_protocol.STREAM_ERRORS as error:
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
                await self._run_until_lost()
            except (*stream_protocol.STREAM_ERRORS, errors.ProtocolError, TimeoutError) as error:
                self._handle_loss(error)
            except Exception as error:
                # The stream is opened again, as after any other loss.
                _log.exception("stream failed", extra={"peer": self.member.instance})
                self._handle_loss(error)
            if self._is_idle():
                asyncio.get_running_loop().call_soon(self._close_idle, self.member.instance)
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_SECONDS, delay * 2)

    async def _run_until_lost(self) -> None:
        """Reads replies and sends heartbeats until either ends, then ends the other one too."""
        tasks = [
            asyncio.create_task(self._read_replies()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _open(self) -> None:
        """Connects and exchanges greetings."""
        silence = self._options.silence.total_seconds()
        tcp_stream = await tcpclient.TCPClient().connect(
            self.member.host,
            self.member.peer_port,
            max_buffer_size=self._options.buffer_bytes,
            timeout=self._options.silence,
        )
        tcp_stream.max_write_buffer_size = self._options.buffer_bytes
        self._stream = streams.MessageStream(tcp_stream, self._options.frame_bytes)
        self._stream.send(messages.Hello(self._options.deployment, self._listener.local_member()))
        hello = await asyncio.wait_for(self._stream.receive(), silence)
        stream_protocol.check_hello(hello, self._options.deployment)
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
