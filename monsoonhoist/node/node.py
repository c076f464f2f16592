"""One instance: its tasks and how they are wired."""

import asyncio
import logging
import pathlib

import msgspec

from monsoonhoist import metrics, settings
from monsoonhoist.core import (
    clock,
    data,
    events,
    inbox,
    kernel,
    membership,
    messages,
    outcome,
    replies,
    tickets,
    traces,
)
from monsoonhoist.node import (
    backends,
    curl,
    desk,
    dialect,
    journal,
    kernels,
    pause,
    peers,
    phases,
    readiness,
    reception,
    tables,
    trace,
    views,
    warmup,
    watchers,
)

READY_CHECK_SECONDS = 0.05

_log = logging.getLogger(__name__)


class Node(peers.PeerListener):
    """All roles of one instance.

    Args:
        config: Settings.
        incarnation: Start of the process, in nanoseconds of wall time.
        time_source: The clock.
        trace_path: File for a trace of kernel events; None for no trace.

    Attributes:
        config: Settings.
        incarnation: Incarnation.
        phase: Phase of life.
        counters: Metrics.
        members: View of the instances.
        spread: Tables in force.
        reception: Takes callers' requests to the entry.
        tickets: Handling of non-repeatable requests.
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
        zone = self.members.myself.zone
        names = config.policy.names()
        self._kernel_clock = clock.EventClock(time_source)
        self._kernel = kernel.make_kernel(
            self.name, zone, self._kernel_clock, names, config.owner_options()
        )
        self._journal = journal.DecisionJournal(self._kernel_clock, self.counters.count_exceeded)
        self._trace: trace.TraceWriter | None = None
        if trace_path is not None:
            self._trace = trace.TraceWriter(trace_path, self.name, zone, names, self._kernel_clock)
        self._entry = self._make_kernel_task(traces.Role.ENTRY, self._kernel.entry)
        self._owner = self._make_kernel_task(traces.Role.OWNER, self._kernel.owner)
        self.dialect = dialect.make_dialect(config)
        self._driver = curl.CurlDriver(config.timing.backend_idle_ms)
        self._backends = backends.BackendTask(
            f"{self.name}.{incarnation}",
            time_source,
            self._driver,
            self.dialect.make_protocol(),
            self.counters,
            self._owner.tell,
        )
        self._hub = peers.PeerHub(peers.make_options(config), time_source, self.counters, self)
        self.spread = tables.TableSpread(
            self.dialect.make_format(),
            time_source,
            self.counters,
            self.send,
            self._hub.connected,
            lambda: self._views.refresh(),
        )
        self._instances = self.dialect.make_listing(self._driver, self.counters, self._take_listed)
        self._watcher = tables.ServiceWatcher(
            config.timing.service_retry_ms,
            self.dialect.make_reader(self._driver, self.counters),
            self.spread,
            lambda: self._watch_choice.is_needed(),
            lambda: self._duty.note_read(time_source.monotonic()),
            reads_first=not config.spread.first_start,
        )
        self._readiness = readiness.Readiness(
            time_source, self.spread, self._watcher, self._hub.connected
        )
        self._duty = config.spread.make_duty(self.name)
        self._watch_choice = watchers.WatchChoice(
            config.spread,
            time_source,
            self.members,
            self._duty,
            self._readiness,
            self._hub.connected,
        )
        self._pauses = pause.PauseWatch(time_source, config.timing.pause_ms, self._on_pause)
        self.reception = reception.Reception(
            f"{self.name}.{incarnation}", time_source, self.counters, self._entry.tell
        )
        self.tickets = desk.TicketDesk(
            self.name,
            tickets.TicketBook(self.name, incarnation, time_source),
            self.reception.ask,
            self.send,
            self.counters.count_refusal,
        )
        self._background: set[asyncio.Task[None]] = set()
        self._warm_up = warmup.WarmUp(
            self.name, self._kernel.ownership, self.dialect.make_protocol(), self._driver
        )
        takers = (self._take_view, self._entry.tell, self._owner.tell, self._warm_up.tell)
        self._views = views.ViewKeeper(
            config, self.members, self.spread, self._hub, takers, time_source
        )

    def _make_kernel_task(self, role: traces.Role, part: kernels.KernelPart) -> kernels.KernelTask:
        """Returns the task that owns one of the kernels."""
        observers = [self._journal.observe]
        if self._trace is not None:
            observers.append(self._trace.record)
        return kernels.KernelTask(
            role, part, self._kernel_clock, self.counters, self._perform, tuple(observers)
        )

    def start(self) -> None:
        """Starts all tasks; the instance becomes ready by itself."""
        self._entry.start()
        self._owner.start()
        self._backends.start()
        self._warm_up.start()
        self._pauses.start()
        instance = self.config.instance
        self._hub.listen(str(instance.host), instance.peer_listen_port or instance.peer_port)
        self._watcher.start()
        self._instances.start()
        self._spawn(self._become_ready())
        self._views.refresh()

    def reconfigure(self, config: settings.Settings) -> None:
        """Takes over changed settings; all but the platform's need a new start."""
        names = config.__struct_fields__
        changed = [name for name in names if getattr(config, name) != getattr(self.config, name)]
        _log.info("settings read again", extra={"changed": changed, "at_once": ["platform"]})
        if "platform" in changed:
            self.config = msgspec.structs.replace(self.config, platform=config.platform)
            self.dialect.config = self.config
            self._instances.stop()
            take = self._take_listed
            self._instances = self.dialect.make_listing(self._driver, self.counters, take)
            self._instances.start()

    async def leave(self) -> None:
        """Leaves without cutting a request, then closes everything.

        Readiness ends first; after the balancer's lag new requests are refused; then all
        requests in flight are finished, those of other instances included.
        """
        _log.info("leaving")
        self.phase = phases.Phase.LEAVING
        statement = self.members.leave()
        for instance in self._hub.connected():
            self.send(instance, messages.Members((statement,)))
        self._views.refresh()
        await asyncio.sleep(self.config.timing.balancer_lag_ms.total_seconds())
        self.phase = phases.Phase.CLOSED
        ends = self._clock.monotonic() + self.config.timing.drain_max_ms.total_seconds()
        while self.active and self._clock.monotonic() < ends:
            await asyncio.sleep(READY_CHECK_SECONDS)
        if self.active:
            _log.error("requests cut at the end of draining", extra={"active": self.active})
        await self.close()

    async def close(self) -> None:
        """Closes all sockets and ends all tasks."""
        self._watcher.stop()
        self._instances.stop()
        self._pauses.stop()
        for runner in list(self._background):
            runner.cancel()
        await self._hub.close()
        for part in (self._entry, self._owner, self._backends, self._warm_up):
            part.stop()
        self._driver.close()
        if self._trace is not None:
            self._trace.close()
        _log.info("closed")

    @property
    def active(self) -> int:
        """Number of requests and calls in flight."""
        owner = self._kernel.owner
        entry = self._kernel.entry
        waiting = self.reception.waiting
        return waiting + entry.active_queries + owner.active + self.tickets.active

    @property
    def view(self) -> events.ViewChanged | None:
        """Tables and live instances that the kernels decide by."""
        return self._views.view

    def connected(self) -> tuple[data.InstanceId, ...]:
        """Returns the instances whose streams are up."""
        return self._hub.connected()

    def refusal(self) -> data.Refusal | None:
        """Returns why no request is taken at present, or None."""
        if self.phase is phases.Phase.CLOSED:
            return data.Refusal.LEAVING
        return None if self.reception.has_routes else data.Refusal.NOT_READY

    def send(self, instance: data.InstanceId, message: messages.Message) -> bool:
        """Sends a message to an instance, which may be this one.

        Returns:
            Whether it was queued; False if no byte of it will be sent.
        """
        if instance == self.name:
            self.on_message(instance, message)
            return True
        return self._hub.send(instance, message)

    def on_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Hands a message to the task that it is for."""
        entry_event = inbox.entry_event(sender, message)
        if entry_event is not None:
            self._entry.tell(entry_event)
            return
        match message:
            case messages.SubBatch():
                self._take_batch(message)
            case messages.BatchCheck():
                self.send(sender, messages.BatchTaken(message.query_id))
            case messages.Cancel() | messages.CallsAllowed():
                self._owner.tell(inbox.owner_event(message))
            case messages.Members():
                self._take_members(sender, message)
            case messages.TicketUse():
                self._take_ticket_use(sender, message)
            case messages.TicketAnswer():
                self.tickets.on_answer(message)
            case messages.Beat():
                if message.word is not None:
                    self._duty.note_heard(message.word, self._clock.monotonic())
                self.spread.on_digest(sender, message.tables_digest)
            case _:
                self.spread.on_message(sender, message)

    def on_stream(self, member: data.Member, is_up: bool) -> None:
        """Takes note of a stream that has come up or gone down."""
        self.members.note_stream(member.instance, is_up)
        if is_up:
            self._take_members(member.instance, messages.Members((member,)))
            self.send(member.instance, messages.Members(self.members.known()))
            self.send(member.instance, self.spread.buckets())
        else:
            self._entry.tell(events.PeerLost(member.instance))
            self.tickets.on_peer_lost(member.instance)
        self._views.refresh()

    def on_unsent(self, instance: data.InstanceId, message: messages.Message) -> None:
        """Tells the entry of a batch of which no byte was sent."""
        if isinstance(message, messages.SubBatch):
            unsent = events.BatchUnsent(instance, message.query.query_id, message.attempt)
            self._entry.tell(unsent)

    def on_idle(self, instance: data.InstanceId) -> None:
        """Forgets what an unused stream told about its instance."""
        self.members.note_stream(instance, True)

    def find(self, instance: data.InstanceId) -> data.Member | None:
        """Returns an instance's record, or None if it is not known."""
        return self.members.find(instance)

    def myself(self) -> data.Member:
        """Returns what this instance states of itself."""
        return self.members.myself

    def tables_digest(self) -> bytes:
        """Returns the digest of the tables in force."""
        return self.spread.summary

    def newest_word(self) -> messages.ServiceWord | None:
        """Returns the newest word of the configuration service, or None."""
        return self._duty.newest_word(self._clock.monotonic())

    def _perform(self, command: events.Command) -> None:
        """Carries out a command of a kernel."""
        match command:
            case events.SendMessage():
                self._perform_send(command)
            case events.Respond():
                self.reception.respond(command)
            case events.StartCall() | events.CancelCall():
                self._backends.tell(command)

    def _perform_send(self, command: events.SendMessage) -> None:
        if not self.send(command.instance, command.message):
            self.on_unsent(command.instance, command.message)

    def _take_batch(self, batch: messages.SubBatch) -> None:
        """Hands on sub-requests; refuses those that may be as old as a pause."""
        is_own = batch.origin == self.name
        if self._pauses.is_suspect() and not (is_own and batch.query.repeatable):
            self.counters.count_refusal(data.Refusal.EXPIRED_IN_QUEUE)
            reply = replies.refusal(batch, data.Refusal.EXPIRED_IN_QUEUE)
            self.send(batch.origin, reply)
            return
        if not is_own:
            self.send(batch.origin, messages.BatchTaken(batch.query.query_id))
        self.counters.count_sub_requests(len(batch.services))
        self._owner.tell(inbox.owner_event(batch))

    def _take_members(self, sender: data.InstanceId, message: messages.Members) -> None:
        """Merges statements about instances and passes on the news."""
        news = self.members.merge(message.members)
        if not news:
            return
        for instance in self._hub.connected():
            if instance != sender:
                self.send(instance, messages.Members(news))
        self._views.refresh()

    def _take_ticket_use(self, sender: data.InstanceId, use: messages.TicketUse) -> None:
        """Runs a forwarded request; refuses it if it may be from before a pause."""
        if self._pauses.is_suspect():
            detail = "the holder of the ticket was paused"
            answer = outcome.not_run(use.request.request_id, data.Refusal.EXPIRED_IN_QUEUE, detail)
            self.send(sender, messages.TicketAnswer(use.forward_id, answer))
            return
        self._spawn(self.tickets.serve(sender, use))

    def _take_view(self, view: events.ViewChanged) -> None:
        self.reception.set_tables(view.tables)

    def _take_listed(self, rows: tuple[membership.ListedInstance, ...]) -> None:
        """Takes over a reading of the platform's instance list."""
        self.members.set_listed(rows)
        self._views.refresh()

    async def _become_ready(self) -> None:
        """Makes the instance ready once it has the newest tables it can know."""
        await self._readiness.wait()
        if self.phase is phases.Phase.STARTING:
            self.phase = phases.Phase.READY
            _log.info("ready")

    def _on_pause(self, seconds: float) -> None:
        """Refreshes the views after a pause before new work is taken."""
        self.counters.count_pause()
        self._watcher.refresh()
        if self.phase is phases.Phase.READY and self.config.timing.hold_after_pause:
            self.phase = phases.Phase.STARTING
            self._readiness.start_over()
            self._spawn(self._become_ready())

    def _spawn(self, coroutine: object) -> None:
        runner = asyncio.create_task(coroutine)
        self._background.add(runner)
        runner.add_done_callback(self._background.discard)
