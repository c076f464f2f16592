"""Message streams between this instance and the other instances.

Each instance maintains streams to its neighbours, opens one to any other instance when it has a
message for it, and sends only on streams that it opened. Heartbeats are acknowledged on the same
stream; without acknowledgements it is closed, so that a broken network path is detected.
"""

from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.node import inbound_server, outbound_stream, stream_protocol
from monsoonhoist.protocol import messages


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
        options: stream_protocol.PeerOptions,
        time_source: clock.Clock,
        counters: metrics.Metrics,
        listener: stream_protocol.PeerListener,
    ):
        self._options = options
        self._clock = time_source
        self._counters = counters
        self._listener = listener
        self._stream_by_id: dict[data.InstanceId, outbound_stream.OutboundStream] = {}
        self._spread_targets: frozenset[data.InstanceId] = frozenset()
        self._server = inbound_server.InboundServer(options, listener, self._acknowledge)

    def listen(self, host: str, port: int) -> None:
        """Accepts streams on an address."""
        self._server.listen(host, port)

    def set_neighbours(
        self,
        members: tuple[data.Member, ...],
        spread: frozenset[data.InstanceId] = frozenset(),
    ) -> None:
        """Maintains streams to these neighbours; others stay open only while in use.

        Args:
            members: The neighbours.
            spread: Those to which every table value is announced.
        """
        self._spread_targets = spread
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
        for instance, stream in self._stream_by_id.items():
            stream.is_gossiping = instance in neighbours

    def gossiping_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances to which tables and membership records are passed on, sorted."""
        return tuple(
            sorted(
                name
                for name, stream in self._stream_by_id.items()
                if stream.is_up and stream.is_gossiping
            )
        )

    def spread_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the gossiping instances to which every table value is announced, sorted."""
        return tuple(name for name in self.gossiping_instances() if name in self._spread_targets)

    def connected_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances whose streams are up, sorted."""
        return tuple(sorted(name for name, stream in self._stream_by_id.items() if stream.is_up))

    def _acknowledge(self, instance: data.InstanceId, heartbeat: messages.Heartbeat) -> bool:
        """Handles a heartbeat; returns whether the stream to its sender acknowledges it."""
        stream = self._stream_by_id.get(instance)
        return stream is not None and stream.acknowledge(heartbeat)

    def send(self, instance: data.InstanceId, message: messages.Message) -> bool:
        """Sends a message to an instance, on a stream that either side has opened.

        Returns:
            Whether the message was queued; if False, no byte of it will be sent.
        """
        stream = self._stream_by_id.get(instance)
        if stream is not None and stream.is_up:
            return stream.send(message)
        connection = self._server.find(instance)
        if connection is not None and connection.send(message, self._counters):
            return True
        if stream is not None:
            return stream.send(message)
        member = self._listener.find_member(instance)
        return member is not None and self._open(member, is_persistent=False).send(message)

    def _open(self, member: data.Member, is_persistent: bool) -> outbound_stream.OutboundStream:
        """Creates a stream to an instance and starts connecting it."""
        stream = outbound_stream.OutboundStream(
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
        self._server.close()
        for stream in self._stream_by_id.values():
            stream.close()
        self._stream_by_id.clear()


def make_options(config: settings.Settings) -> stream_protocol.PeerOptions:
    """Returns the settings of the streams from an instance's settings."""
    return stream_protocol.PeerOptions(
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
        capacity=instance.capacity,
        accepts_work=not config.spread.owners_when_ready,
    )


def _address(member: data.Member) -> tuple[str, int]:
    return (member.host, member.peer_port)
