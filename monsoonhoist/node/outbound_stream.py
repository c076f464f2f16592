"""Outbound stream to another instance, reconnected after each failure."""

import asyncio
import logging
from collections.abc import Callable

from monsoonhoist import errors, metrics
from monsoonhoist.core import clock, data
from monsoonhoist.node import stream_protocol, streams
from monsoonhoist.protocol import messages

RECONNECT_MIN_SECONDS = 0.1
RECONNECT_MAX_SECONDS = 2.0
# Streams to instances that are not neighbours are closed after being unused for this long.
IDLE_TIMEOUT_SECONDS = 5.0
QUEUED_MESSAGES_MAX = 256
# Multiple of the heartbeat interval and of the silence on streams that carry queries only. They are
# many, also between zones, and an entry notices an owner that does not respond by itself.
QUERY_STREAM_HEARTBEAT_FACTOR = 4

# Not ``__name__``: operators select log lines of all streams by this name.
_log = logging.getLogger("monsoonhoist.node.peers")


class OutboundStream:
    """Stream to one other instance, reconnected with backoff after each failure.

    Attributes:
        member: The other instance.
        is_persistent: Whether the stream stays open while unused.
        is_up: Whether the stream is established.
        is_gossiping: Whether the stream is one of those over which tables and membership records
            spread. Other streams carry queries, and heartbeats less often.
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
        self.is_gossiping = False
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
        self._heartbeat_scheduled_at = 0.0
        self._sequence = 0
        # Number of the latest heartbeat of the other instance that is not acknowledged yet.
        self._heard_sequence = 0
        self._greeting: asyncio.Future[messages.Hello] | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._connect_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts connecting."""
        self._connect_after(0.0)

    def close(self) -> None:
        """Closes the stream permanently."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._disconnect()

    def acknowledge(self, heartbeat: messages.Heartbeat) -> bool:
        """Handles a heartbeat that the other instance sent on its own stream.

        Returns:
            Whether the next heartbeat of this stream will acknowledge it.
        """
        if not self.is_up or heartbeat.acknowledged < 0:
            return False
        if heartbeat.acknowledged:
            self._last_received_at = self._clock.monotonic()
        self._heard_sequence = heartbeat.sequence
        return True

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
        except errors.FrameTooLargeError as error:
            stream_protocol.log_unsent(self.member.instance, message, error)
            return False
        except errors.StreamError as error:
            self._handle_end(error)
            return False
        self._counters.count_stream_bytes(sent, type(message).__name__)
        return True

    def _connect_after(self, delay_seconds: float) -> None:
        """Starts connecting after a delay."""
        self._connect_task = asyncio.create_task(
            self._connect(delay_seconds), name=f"link {self.member.instance}"
        )

    async def _connect(self, delay_seconds: float) -> None:
        """Connects, with a delay that doubles after each failure, until the stream is up."""
        delay = RECONNECT_MIN_SECONDS
        await asyncio.sleep(delay_seconds)
        while True:
            try:
                await self._open()
                return
            except (OSError, errors.ProtocolError, errors.StreamError, TimeoutError) as error:
                self._handle_loss(error)
            except Exception as error:
                # The stream is opened again, as after any other loss.
                _log.exception("stream failed", extra={"peer": self.member.instance})
                self._handle_loss(error)
            self._close_if_idle()
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_SECONDS, delay * 2)

    async def _open(self) -> None:
        """Connects and exchanges greetings."""
        loop = asyncio.get_running_loop()
        self._greeting = loop.create_future()
        self._stream = streams.MessageStream(
            self._options.frame_bytes,
            self._options.buffer_bytes,
            self._handle_message,
            self._handle_end,
        )
        async with asyncio.timeout(self._options.silence.total_seconds()):
            stream = self._stream
            await loop.create_connection(lambda: stream, self.member.host, self.member.peer_port)
            greeting = messages.Hello(self._options.deployment, self._listener.local_member(), True)
            stream.send(greeting)
            hello = await self._greeting
        self._last_received_at = self._clock.monotonic()
        self.member = hello.member
        self.is_up = True
        self._schedule_heartbeat()
        _log.info("stream up", extra={"peer": self.member.instance})
        self._listener.handle_stream_change(self.member, True)
        self._flush_queue()

    def _handle_message(self, message: messages.Message) -> None:
        """Handles the greeting and acknowledgements, and passes on all other messages."""
        self._last_received_at = self._clock.monotonic()
        if not self._greeting.done():
            stream_protocol.check_hello(message, self._options.deployment)
            self._greeting.set_result(message)
        elif not isinstance(message, messages.HeartbeatReply):
            self._listener.handle_message(self.member.instance, message)

    def _handle_end(self, error: Exception) -> None:
        """Handles the end of the connection, before or after the greeting."""
        if not self.is_up:
            if not self._greeting.done():
                self._greeting.set_exception(error)
            return
        self._handle_loss(error)
        self._close_if_idle()
        self._connect_after(RECONNECT_MIN_SECONDS)

    @property
    def _heartbeat_factor(self) -> int:
        """Multiple of the usual heartbeat interval and silence."""
        return 1 if self.is_gossiping else QUERY_STREAM_HEARTBEAT_FACTOR

    def _schedule_heartbeat(self) -> None:
        self._heartbeat_scheduled_at = self._clock.monotonic()
        period = self._options.heartbeat.total_seconds() * self._heartbeat_factor
        self._heartbeat_timer = asyncio.get_running_loop().call_later(period, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        """Sends a heartbeat, or ends the stream if earlier ones were not acknowledged in time."""
        now = self._clock.monotonic()
        # A missing acknowledgement after a pause of this process is not the peer's failure.
        period = self._options.heartbeat.total_seconds() * self._heartbeat_factor
        silence = self._options.silence.total_seconds() * self._heartbeat_factor
        if now - self._heartbeat_scheduled_at > 2 * period:
            self._last_received_at = now
        if now - self._last_received_at > silence:
            self._handle_end(TimeoutError("no acknowledgement of a heartbeat in time"))
            return
        if self._is_idle():
            self._close_if_idle()
            return
        self._sequence += 1
        heartbeat = messages.Heartbeat(
            self._sequence,
            self._listener.tables_digest() if self.is_gossiping else b"",
            self._listener.latest_read_report() if self.is_gossiping else None,
            self._heard_sequence,
        )
        self._heard_sequence = 0
        try:
            # The label of heartbeats in the metric; other messages have the name of their class.
            self._counters.count_stream_bytes(self._stream.send(heartbeat), "Beat")
        except errors.StreamError as error:
            self._handle_end(error)
            return
        self._schedule_heartbeat()

    def _flush_queue(self) -> None:
        """Sends the queued messages; reports them as unsent if the stream is not up."""
        self._is_queueing = False
        queued, self._queued = self._queued, []
        for message in queued:
            if not self.send(message):
                self._listener.handle_unsent(self.member.instance, message)

    def _is_idle(self) -> bool:
        """Returns whether the stream is unused and may be closed."""
        unused = self._clock.monotonic() - self._last_used_at
        return not self.is_persistent and unused > IDLE_TIMEOUT_SECONDS

    def _close_if_idle(self) -> None:
        if self._is_idle():
            asyncio.get_running_loop().call_soon(self._close_idle, self.member.instance)

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
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._stream is not None:
            self._stream.close()
            self._stream = None
