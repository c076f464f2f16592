"""One instance of the query tier: creates its tasks and routes events between them."""

import asyncio
import logging
import pathlib

import msgspec

from monsoonhoist import metrics, settings
from monsoonhoist.core import clock, data
from monsoonhoist.fleet import membership
from monsoonhoist.kernels import kernel, traces
from monsoonhoist.node import (
    backends,
    curl,
    dialect,
    draining,
    kernels,
    member_gossip,
    pause,
    peers,
    pending_queries,
    phases,
    readiness,
    replication,
    request_log,
    stream_protocol,
    ticket_runner,
    trace,
    views,
    warmup,
    watcher_role,
)
from monsoonhoist.protocol import events, message_events, messages
from monsoonhoist.queries import answer_builder, tickets
from monsoonhoist.shards import replies

_log = logging.getLogger(__name__)


class Node(stream_protocol.PeerListener):
    """One instance in both of its roles, entry and owner.

    Args:
        config: Settings.
        incarnation: Start of the process, in nanoseconds of wall-clock time.
        time_source: The clock.
        trace_path: File for a trace of kernel events; None for no trace.

    Attributes:
        config: Settings.
        incarnation: Start of the process, in nanoseconds of wall-clock time.
        name: Name of the instance.
        dialect: Creates the parts that depend on the platform.
        phase: Phase of the process's life cycle.
        stop_schedule: Schedule of a planned stop.
        counters: Metrics of this instance.
        members: Known instances and their states.
        replicator: Holds the current tables and exchanges them with peers.
        pending_queries: Passes callers' requests to the entry kernel, and answers back.
        ticket_runner: Runs non-repeatable requests, each under a ticket.
    """

    def __init__(
        self,
        config: settings.Settings,
        incarnation: data.Incarnation,
        time_source: clock.Clock,
        trace_path: pathlib.Path | None = None,
    ):
        self.config = config
        self.incarnation = incarnation
        self.phase = phases.Phase.STARTING
        self.name = data.InstanceId(config.instance.name)
        self.counters = metrics.Metrics(self.name)
        self._clock = time_source
        self.members = membership.Membership(peers.make_member(config, incarnation))
        zone = self.members.local_member.zone
        names = config.policy.names()
        self._event_clock = clock.EventClock(time_source)
        self._kernel = kernel.make_kernel(
            self.name, zone, self._event_clock, names, config.kernel_options()
        )
        self._request_log = request_log.RequestLog(
            self._event_clock, self.counters.count_shards_over_limit
        )
        self._trace: trace.TraceWriter | None = None
        if trace_path is not None:
            self._trace = trace.TraceWriter(trace_path, self.name, zone, names, self._event_clock)
        self._entry = self._make_task(traces.Role.ENTRY, self._kernel.entry)
        self._owner = self._make_task(traces.Role.OWNER, self._kernel.owner)
        self.dialect = dialect.make_dialect(config)
        self._driver = curl.CurlDriver(config.timing.backend_idle_ms, *config.driver_limits())
        protocol = self.dialect.make_protocol()
        self._backends = backends.BackendTask(
            f"{self.name}.{incarnation}",
            time_source,
            self._driver,
            protocol,
            self.counters,
            self._owner.submit,
        )
        self._streams = peers.PeerStreams(
            peers.make_options(config), time_source, self.counters, self
        )
        self.replicator = replication.TableReplicator(
            self.dialect.make_format(),
            time_source,
            self.counters,
            self.send,
            self._streams.gossiping_instances,
            lambda: self._view_publisher.refresh(),
            self.latest_read_report,
            self._streams.spread_instances,
            asyncio.get_running_loop().call_later,
        )
        self._listing = self.dialect.make_listing(self._driver, self.counters, self._handle_listed)
        self._member_gossip = member_gossip.MemberGossip(
            self.members, self.send, self._streams.gossiping_instances
        )
        self._watcher = replication.ConfigServiceWatcher(
            config.timing.service_retry_ms,
            self.dialect.make_reader(self._driver, self.counters),
            self.replicator,
            lambda: self._watcher_role.is_active(),
            lambda: self._watcher_selection.record_read(time_source.monotonic()),
            reads_at_start=not config.spread.first_start,
        )
        self._readiness = readiness.Readiness(
            time_source, self.replicator, self._watcher, self._streams.connected_instances
        )
        self._watcher_selection = config.spread.make_watcher_selection(self.name, incarnation)
        self._watcher_role = watcher_role.WatcherRole(
            config.spread,
            time_source,
            self.members,
            self._watcher_selection,
            self._readiness,
            self._streams.connected_instances,
        )
        self._pauses = pause.PauseDetector(time_source, config.timing.pause_ms, self._handle_pause)
        self.stop_schedule = draining.Stop(config.timing, time_source)
        self.pending_queries = pending_queries.PendingQueries(
            f"{self.name}.{incarnation}",
            time_source,
            self.counters,
            self._entry.submit,
            self.stop_schedule.remaining_ms,
        )
        self.ticket_runner = ticket_runner.TicketRunner(
            self.name,
            tickets.TicketStore(self.name, incarnation, time_source),
            self.pending_queries.start,
            self.send,
            self.counters.count_refusal,
        )
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._warm_up = warmup.ConnectionWarmUp(
            self.name, self._kernel, protocol, self._driver, self._owner.submit
        )
        tasks = (self._entry, self._owner, self._warm_up)
        handlers = (self.pending_queries.set_view, *(each.submit for each in tasks))
        self._view_publisher = views.ViewPublisher(
            config, self.members, self.replicator, self._streams, handlers, time_source
        )

    def _make_task(self, role: traces.Role, kernel: kernels.EventKernel) -> kernels.KernelTask:
        """Returns the task that runs one of the kernels."""
        observers = (self._request_log.observe, *([self._trace.record] if self._trace else []))
        return kernels.KernelTask(
            role, kernel, self._event_clock, self.counters, self._execute, observers
        )

    def start(self) -> None:
        """Starts all tasks; the instance becomes ready once its tables are current."""
        self._entry.start()
        self._owner.start()
        self._backends.start()
        self._warm_up.start()
        self._pauses.start()
        instance = self.config.instance
        self._streams.listen(str(instance.host), instance.peer_listen_port or instance.peer_port)
        self._watcher.start()
        self._listing.start()
        self._spawn(self._become_ready())
        self._view_publisher.refresh()

    def reconfigure(self, config: settings.Settings) -> None:
        """Applies a changed ``instances_url`` or ``seeds``; other changes need a restart."""
        names = config.__struct_fields__
        changed = [name for name in names if getattr(config, name) != getattr(self.config, name)]
        _log.info("settings read again", extra={"changed": changed, "at_once": ["platform"]})
        if "platform" in changed:
            self.config = msgspec.structs.replace(self.config, platform=config.platform)
            self.dialect.config = self.config
            self._listing.stop()
            handle = self._handle_listed
            self._listing = self.dialect.make_listing(self._driver, self.counters, handle)
            self._listing.start()

    def begin_leaving(self) -> None:
        """Stops being ready, tells the other instances, and begins the stop's schedule."""
        _log.info("leaving")
        self.phase = phases.Phase.LEAVING
        self.stop_schedule.begin()
        self._publish_record(self.members.mark_leaving())

    def answer_all(self) -> None:
        """Answers the requests that are still unanswered with what they have."""
        self._entry.submit(events.AnswersDue())

    async def close(self) -> None:
        """Closes all sockets and stops all tasks."""
        self._watcher.stop()
        self._listing.stop()
        self._pauses.stop()
        self._member_gossip.stop()
        self._view_publisher.stop()
        for task in list(self._background_tasks):
            task.cancel()
        await self._streams.close()
        for component in (self._entry, self._owner, self._backends, self._warm_up):
            component.stop()
        self._driver.close()
        if self._trace is not None:
            self._trace.close()
        _log.info("closed")

    @property
    def active(self) -> int:
        """Number of requests and calls in flight; a request counts in each task that holds it."""
        kernel_work = self._kernel.entry.active_queries + self._kernel.owner.active
        return self.pending_queries.count + kernel_work + self.ticket_runner.active

    @property
    def view(self) -> events.ViewChanged | None:
        """Latest view of the tables and live instances; None before the first."""
        return self._view_publisher.view

    def connected_instances(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances whose streams are up."""
        return self._streams.connected_instances()

    def refusal_reason(self) -> data.Refusal | None:
        """Returns why all requests are currently refused, or None if they are not."""
        if self.phase is phases.Phase.CLOSED:
            return data.Refusal.LEAVING
        return None if self.pending_queries.has_routes else data.Refusal.NOT_READY

    def send(self, instance: data.InstanceId, message: messages.Message) -> bool:
        """Sends a message to any instance; returns False if no byte of it will be sent."""
        if instance == self.name:
            self.handle_message(instance, message)
            return True
        return self._streams.send(instance, message)

    def handle_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Dispatches a message to the task that handles it."""
        entry_event = message_events.to_entry_event(sender, message)
        if entry_event is not None:
            self._entry.submit(entry_event)
            return
        match message:
            case messages.SubBatch():
                self._handle_batch(message)
            case messages.BatchCheck():
                self.send(sender, messages.BatchTaken(message.query_id))
            case messages.Cancel() | messages.CallsAllowed() | messages.ServersLeaving():
                self._owner.submit(message_events.to_owner_event(message))
            case messages.Members():
                self._handle_members(sender, message)
            case messages.TicketUse():
                self._handle_ticket_use(sender, message)
            case messages.TicketAnswer():
                self.ticket_runner.handle_answer(message)
            case messages.Heartbeat():
                if message.report is not None:
                    self._watcher_selection.record_report(message.report, self._clock.monotonic())
                if message.tables_digest:
                    self.replicator.handle_digest(sender, message.tables_digest)
            case _:
                self.replicator.handle_message(sender, message)

    def handle_stream_change(self, member: data.Member, is_up: bool) -> None:
        """Records that a stream was established or failed, and notifies the tasks."""
        self.members.record_stream(member.instance, is_up)
        if is_up:
            self._handle_members(member.instance, messages.Members((member,)))
            if member.instance in self._streams.gossiping_instances():
                self.send(member.instance, messages.Members(self.members.other_members()))
                self.send(member.instance, self.replicator.bucket_digests())
        else:
            self._entry.submit(events.PeerLost(member.instance))
            self.ticket_runner.handle_peer_lost(member.instance)
        self._view_publisher.refresh()

    def handle_unsent(self, instance: data.InstanceId, message: messages.Message) -> None:
        """Notifies the entry of work, or of parts, of which no byte was sent."""
        if isinstance(message, messages.SubBatch):
            unsent = events.BatchUnsent(instance, message.query.query_id, message.attempt)
            self._entry.submit(unsent)
        elif isinstance(message, messages.SubReply):
            shorter = replies.make_undeliverable(message)
            if shorter != message:
                self.send(instance, shorter)

    def handle_idle_close(self, instance: data.InstanceId) -> None:
        """Clears the failure recorded for an instance whose unused stream was closed."""
        self.members.record_stream(instance, True)

    def find_member(self, instance: data.InstanceId) -> data.Member | None:
        """Returns an instance's membership record, or None if it is not known."""
        return self.members.find(instance)

    def local_member(self) -> data.Member:
        """Returns this instance's own membership record."""
        return self.members.local_member

    def tables_digest(self) -> bytes:
        """Returns the digest of the current tables' revisions."""
        return self.replicator.digest

    def latest_read_report(self) -> messages.ConfigReadReport | None:
        """Returns the latest known reply of the configuration service, or None."""
        return self._watcher_selection.latest_report(self._clock.monotonic())

    def _execute(self, command: events.Command) -> None:
        """Executes a command of a kernel."""
        match command:
            case events.SendMessage():
                self._execute_send(command)
            case events.Respond():
                self.pending_queries.complete(command)
            case events.StartCall() | events.CancelCall():
                self._backends.submit(command)

    def _execute_send(self, command: events.SendMessage) -> None:
        if not self.send(command.instance, command.message):
            self.handle_unsent(command.instance, command.message)

    def _handle_batch(self, batch: messages.SubBatch) -> None:
        """Submits sub-requests to the owner; refuses those that may predate a pause."""
        is_own = batch.origin == self.name
        if self._pauses.may_receive_stale_messages() and not (is_own and batch.query.repeatable):
            self.counters.count_refusal(data.Refusal.EXPIRED_IN_QUEUE)
            reply = replies.make_refusal(batch, data.Refusal.EXPIRED_IN_QUEUE)
            self.send(batch.origin, reply)
            return
        if not is_own:
            self.send(batch.origin, messages.BatchTaken(batch.query.query_id))
        self.counters.count_sub_requests(len(batch.services))
        self._owner.submit(message_events.to_owner_event(batch))

    def _handle_members(self, sender: data.InstanceId, message: messages.Members) -> None:
        if self._member_gossip.merge(sender, message):
            self._view_publisher.refresh()

    def _handle_ticket_use(self, sender: data.InstanceId, use: messages.TicketUse) -> None:
        """Runs a forwarded request; refuses it if it may predate a pause."""
        if self._pauses.may_receive_stale_messages():
            detail = "the holder of the ticket was paused"
            answer = answer_builder.make_not_run(
                use.request.request_id, data.Refusal.EXPIRED_IN_QUEUE, detail
            )
            self.send(sender, messages.TicketAnswer(use.forward_id, answer))
            return
        self._spawn(self.ticket_runner.handle_forwarded(sender, use))

    def _handle_listed(self, listed: tuple[membership.ListedInstance, ...]) -> None:
        """Applies the platform's instance list."""
        self.members.set_listed(listed)
        self._view_publisher.refresh()

    async def _become_ready(self) -> None:
        """Marks the instance as ready once ``Readiness`` reports that its tables are current."""
        await self._readiness.wait()
        if self.phase is phases.Phase.STARTING:
            self.phase = phases.Phase.READY
            _log.info("ready")
            if not self.members.local_member.accepts_work:
                self._publish_record(self.members.mark_accepting())

    def _publish_record(self, record: data.Member) -> None:
        self._member_gossip.announce(record, self._streams.connected_instances())
        self._view_publisher.refresh()

    def _handle_pause(self, seconds: float) -> None:
        """Reloads the tables after a pause; with ``hold_after_pause``, not ready until then."""
        self.counters.count_pause()
        self._watcher.restart()
        if self.phase is phases.Phase.READY and self.config.timing.hold_after_pause:
            self.phase = phases.Phase.STARTING
            self._readiness.restart()
            self._spawn(self._become_ready())

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
