"""State machine of instances that read a store, and of what must hold at each step and at the end.

Hypothesis draws the steps: changes by the operator and the servers, returns of the store from an
older copy, cuts, late replies and restarts. Time is simulated.
"""

import asyncio
import collections
import json

from hypothesis import stateful, strategies

from features import simulated_fleet, simulated_loop, store_writers

SERVER_COUNT = 5
ZONES = ("z1", "z2")
START_SECONDS = 4.0
# Time within which a change that is written while nothing else is disturbed is in force.
IN_FORCE_SECONDS = 3.0
# Time after the end of all faults, and of what is written again, until all tables are equal.
CONVERGENCE_SECONDS = 6.0
# Time after the end of a fault, other than a return, from which changes must be in force in time.
CALM_SECONDS = 3.0
# Most requests in a calm time after the faults.
CALM_CHECK_SECONDS = 20.0
CALM_REQUESTS_MAX = 34

# A change: its kind, and the index of its server or zone.
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("config", "register", "drain", "remove", "expire", "evacuate")),
        strategies.integers(0, 2),
    ),
    max_size=3,
)
DELAYS = strategies.lists(strategies.sampled_from((0.0, 0.4, 1.0, 1.9)), min_size=1, max_size=5)
INDEXES = strategies.integers(0, 5)


class Machine(stateful.RuleBasedStateMachine):
    """Instances, a store, and those who write to it."""

    def __init__(self):
        super().__init__()
        self.loop = simulated_loop.SimulatedLoop()
        self.fleet = None
        self._versions_by_boot = collections.defaultdict(int)
        self._kept_by_boot = collections.defaultdict(set)
        self._draining_by_boot = collections.defaultdict(set)
        self._expected = []
        self._disturbed_until = 0.0
        self._problems = []

    def run(self, function, *arguments):
        """Runs a function on the loop, and lets its requests start."""

        async def call():
            function(*arguments)
            await asyncio.sleep(0)

        self.loop.run_until_complete(call())
        self._check()

    def wait(self, seconds):
        """Lets time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))
        self._check()

    def _check(self):
        assert not self._problems, self._problems

    @stateful.initialize(count=strategies.integers(4, 6), era=strategies.sampled_from((0, 1, 7)))
    def start(self, count, era):
        """Starts the instances."""
        self.fleet = simulated_fleet.Fleet(count, era)
        self.fleet.observe = self._observe
        self.writers = store_writers.Writers(self.fleet.store, SERVER_COUNT)
        self.run(self.writers.write_all)
        for name in self.fleet.names:
            self.run(self.fleet.start, name)
        self.wait(START_SECONDS)

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 2.5)))
    def pass_time(self, seconds):
        """Lets time pass."""
        self.wait(seconds)

    @stateful.rule(step=strategies.integers(1, 3))
    def write_config(self, step):
        """Writes a new configuration."""
        self.writers.version += step
        version = self.writers.version
        self._write(self.writers.write_config)
        self._expect(f"configuration {version}", lambda boot: self._version(boot) >= version)

    @stateful.rule(index=INDEXES, is_restarted=strategies.booleans())
    def register(self, index, is_restarted):
        """Registers a server, or starts its process anew."""
        server = self._server(index)
        if server.state == "ready" and not is_restarted:
            return
        server.born += 1
        server.sequence = 0
        self._forget(server)
        server.state = "ready"
        self._write(self.writers.write_server, server)

    @stateful.rule(index=INDEXES)
    def drain(self, index):
        """Lets a server say that it leaves."""
        server = self._server(index)
        if server.state != "ready":
            return
        server.state = "draining"
        self._write(self.writers.write_server, server)
        place = (server.key, server.born)
        self._expect(f"{server.key} draining", lambda boot: not self._is_ready(boot, *place))

    @stateful.rule(index=INDEXES)
    def remove(self, index):
        """Lets a server leave."""
        server = self._server(index)
        server.state = ""
        self._forget(server)
        self._write(self.writers.write_server, server)

    def _forget(self, server):
        """Records that the items so far of a server may go out of force."""
        server.kept_from = server.sequence + 1
        for kept in self._kept_by_boot.values():
            kept.discard(server.key)

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def evacuate(self, zone):
        """Sets the evacuation of a zone, or lifts it."""
        self.writers.zones ^= {zone}
        self._write(self.writers.write_zone, zone)

    @stateful.rule(index=INDEXES)
    def expire(self, index):
        """Lets the store remove the item of a server that lives, as after a time of silence."""
        server = self._server(index)
        self._forget(server)
        self.run(self.writers.expire, server)

    @stateful.rule(
        lost=CHANGES,
        away_seconds=strategies.sampled_from((0.0, 1.5)),
        delays=DELAYS,
        later=CHANGES,
        later_seconds=strategies.sampled_from((0.0, 0.5, 1.5)),
    )
    def lose_changes(self, lost, away_seconds, delays, later, later_seconds):
        """Makes changes that the store loses, and others soon after its return."""
        self.wait(1.0)
        for change in lost:
            self._change(*change)
            self.wait(0.2)
        self.return_store(0.2 * len(lost), away_seconds, True, delays)
        self.wait(later_seconds)
        for change in later:
            self._change(*change)

    def _change(self, kind, index):
        changes = {
            "config": lambda: self.write_config(1),
            "register": lambda: self.register(index, False),
            "drain": lambda: self.drain(index),
            "remove": lambda: self.remove(index),
            "expire": lambda: self.expire(index),
            "evacuate": lambda: self.evacuate(ZONES[index % len(ZONES)]),
        }
        changes[kind]()

    @stateful.rule(
        lost_seconds=strategies.sampled_from((0.0, 0.1, 0.6, 2.0, 5.0)),
        away_seconds=strategies.sampled_from((0.0, 0.3, 1.5)),
        cuts_watches=strategies.booleans(),
        delays=DELAYS,
    )
    def return_store(self, lost_seconds, away_seconds, cuts_watches, delays):
        """Lets the store come back from an older copy; what was lost is written again."""
        self._expected.clear()
        self.run(self.fleet.store.leave, cuts_watches)
        self.wait(away_seconds)
        self.run(self.fleet.store.come_back, lost_seconds)
        self.run(self.writers.write_later, delays)

    @stateful.rule(one=INDEXES, other=INDEXES)
    def cut(self, one, other):
        """Cuts the stream between two instances, or all streams of one."""
        name, target = self._name(one), self._name(other)
        others = self.fleet.names if one == other else (target,)
        for other_name in others:
            if other_name != name:
                self.fleet.cut(name, other_name)

    @stateful.rule(index=INDEXES)
    def cut_store(self, index):
        """Cuts an instance off from the store."""
        self.fleet.link_by_name[self._name(index)].is_cut = True

    @stateful.rule(index=INDEXES, seconds=strategies.sampled_from((0.3, 1.2)))
    def delay_replies(self, index, seconds):
        """Lets the replies of the store to an instance be late."""
        self.fleet.link_by_name[self._name(index)].reply_delay_seconds = seconds

    @stateful.rule()
    def heal(self):
        """Ends all cuts and delays."""
        self._end_faults()

    @stateful.rule(index=INDEXES)
    def restart(self, index):
        """Starts an instance anew, with empty tables."""
        self._disturb()
        self.run(self.fleet.start, self._name(index))

    def teardown(self):
        """Ends all faults, and checks that all instances have the store's values."""
        try:
            if self.fleet is not None and not self._problems:
                self._check_end()
        finally:
            if self.fleet is not None:
                self.loop.run_until_complete(self._stop())
            self.loop.close()

    async def _stop(self):
        self.fleet.stop_all()
        await asyncio.sleep(0.1)

    def _check_end(self):
        self._end_faults()
        while self.writers.has_pending:
            self.wait(0.1)
        self.run(self.writers.write_all)
        self.wait(CONVERGENCE_SECONDS)
        expected = {key: each.text for key, each in self.fleet.store.latest_changes().items()}
        for name, boot in self.fleet.instance_by_name.items():
            contents = boot.content_by_key
            differing = [
                key for key in expected | contents if expected.get(key) != contents.get(key)
            ]
            assert not differing, (name, differing)
        requests = self.fleet.requests
        self.wait(CALM_CHECK_SECONDS)
        assert self.fleet.requests - requests <= CALM_REQUESTS_MAX, self.fleet.requests - requests

    def _end_faults(self):
        self._disturb()
        for link in self.fleet.link_by_name.values():
            link.is_cut = False
            link.reply_delay_seconds = 0.0
        self.run(self.fleet.heal)

    def _disturb(self):
        """Records a fault after which changes need not be in force in time for a while."""
        self._expected.clear()
        self._disturbed_until = self.loop.time() + CALM_SECONDS

    def _is_disturbed(self):
        links = self.fleet.link_by_name.values()
        has_fault = any(link.is_cut or link.reply_delay_seconds for link in links)
        return has_fault or self.fleet.cuts or self.loop.time() < self._disturbed_until

    def _write(self, write, *arguments):
        self.run(write, *arguments)

    def _expect(self, what, is_met):
        """Has a change checked that was just written, unless a fault happens before."""
        if self._is_disturbed():
            return
        token = (what, is_met)
        self._expected.append(token)
        self.loop.call_later(IN_FORCE_SECONDS, self._check_expected, token)

    def _check_expected(self, token):
        if token not in self._expected or self._is_disturbed():
            return
        what, is_met = token
        late = [name for name, boot in self.fleet.instance_by_name.items() if not is_met(boot)]
        if late:
            self._problems.append(f"{what} is not in force at {late}")

    def _observe(self, boot):
        """Checks what must hold in one boot of an instance."""
        version = self._version(boot)
        if version < self._versions_by_boot[boot]:
            self._problems.append(f"{boot.name}: configuration {version} in force again")
        self._versions_by_boot[boot] = version
        contents = boot.content_by_key
        kept = self._kept_by_boot[boot]
        if kept - contents.keys():
            self._problems.append(f"{boot.name}: lost {kept - contents.keys()}")
        for server in self.writers.servers:
            item = json.loads(contents.get(server.key, "{}"))
            is_current = item.get("born") == server.born and item["Seq"] >= server.kept_from
            if server.state and is_current:
                kept.add(server.key)
        draining = self._draining_by_boot[boot]
        for key, born in draining:
            if self._is_ready(boot, key, born):
                self._problems.append(f"{boot.name}: {key} is ready again")
        for server in self.writers.servers:
            item = json.loads(contents.get(server.key, "{}"))
            if item.get("State") == "draining":
                draining.add((server.key, item["born"]))

    @staticmethod
    def _version(boot):
        text = boot.content_by_key.get(store_writers.CONFIG_KEY)
        return json.loads(text)["Version"] if text else 0

    @staticmethod
    def _is_ready(boot, key, born):
        item = json.loads(boot.content_by_key.get(key, "{}"))
        return item.get("State") == "ready" and item["born"] == born

    def _name(self, index):
        return self.fleet.names[index % len(self.fleet.names)]

    def _server(self, index):
        return self.writers.servers[index % SERVER_COUNT]
