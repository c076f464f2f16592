"""Settings of one instance, read from an INI file.

The addresses and the availability zone of a process come from here. Durations are
written as whole milliseconds.
"""

import datetime
import ipaddress
import pathlib
from typing import Annotated

import msgspec

from monsoonhoist import errors
from monsoonhoist.core import budget, data, kernel, owner_config, watcher_selection
from monsoonhoist.policy import registry
from monsoonhoist.tables import ini

_OPTIONAL_ADDRESS_PATTERN = r"^([0-9.]+:[0-9]{1,5})?$"


class InstanceSection(ini.Model):
    """``[instance]``: names and addresses of this process.

    Others reach its instance streams at ``peer_port``; where a port mapping lies between,
    ``peer_listen_port`` is the port that the process itself listens on.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    deployment: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]+$")]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    host: ipaddress.IPv4Address
    http_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    peer_listen_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns what is wrong with the addresses."""
        if self.http_port == self.peer_port:
            return (ini.Problem("", "http_port and peer_port must differ"),)
        return ()


class PlatformSection(ini.Model):
    """``[platform]``: which dialect is spoken, and where the platform's services are.

    The native dialect has a configuration service and an instance list. The other one
    has a store, and ``seeds`` names instances by which the others are found.
    """

    dialect: Annotated[str, msgspec.Meta(pattern=r"^(native|platform)$")] = "native"
    config_url: Annotated[str, msgspec.Meta(pattern=r"^(https?://.*)?$")] = ""
    instances_url: Annotated[str, msgspec.Meta(pattern=r"^(https?://.*)?$")] = ""
    store: Annotated[str, msgspec.Meta(pattern=_OPTIONAL_ADDRESS_PATTERN)] = ""
    seeds: Annotated[str, msgspec.Meta(pattern=r"^[0-9.:, ]*$")] = ""

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns the addresses that are missing."""
        needed = ("config_url", "instances_url") if self.dialect == "native" else ("store",)
        return tuple(
            ini.Problem(name, f"needed with dialect = {self.dialect}")
            for name in needed
            if not getattr(self, name)
        )

    def seed_hosts(self) -> tuple[str, ...]:
        """Returns the IP numbers of the seeds."""
        return tuple(seed.strip().split(":")[0] for seed in self.seeds.split(",") if seed.strip())


class ListenSection(ini.Model):
    """``[listen]``: addresses of the servers where each has its own."""

    callers: Annotated[str, msgspec.Meta(pattern=_OPTIONAL_ADDRESS_PATTERN)] = ""
    ready: Annotated[str, msgspec.Meta(pattern=_OPTIONAL_ADDRESS_PATTERN)] = ""
    control: Annotated[str, msgspec.Meta(pattern=_OPTIONAL_ADDRESS_PATTERN)] = ""


class ExtraCallsSection(ini.Model):
    """``[extra_calls]``: budgets of calls beyond the first of each sub-request.

    All instances together may make ``allowance`` extra calls to a shard in ``window_seconds``,
    besides ``ratio`` of the first ones; hedges use the allowance only with
    ``hedges_use_allowance``.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    allowance: Annotated[float, msgspec.Meta(ge=0)] = 40.0
    window_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    refusals_cost: bool = False
    hedges_use_allowance: bool = False
    finish_latencies: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.0


class LimitsSection(ini.Model):
    """``[limits]``: sizes that are refused above."""

    body_bytes: Annotated[int, msgspec.Meta(ge=256, le=16_777_216)] = 65_536
    frame_bytes: Annotated[int, msgspec.Meta(ge=65_536, le=67_108_864)] = 4_194_304
    stream_buffer_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 33_554_432
    callers: Annotated[int, msgspec.Meta(ge=1)] = 10_000
    results: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1_000


class TimingSection(ini.Model):
    """``[timing]``: periods and limits of time, in milliseconds."""

    heartbeat_ms: datetime.timedelta = datetime.timedelta(milliseconds=200)
    silence_ms: datetime.timedelta = datetime.timedelta(milliseconds=800)
    backend_connect_ms: datetime.timedelta = datetime.timedelta(milliseconds=150)
    backend_idle_ms: datetime.timedelta = datetime.timedelta(seconds=30)
    instances_poll_ms: datetime.timedelta = datetime.timedelta(seconds=1)
    watch_ms: datetime.timedelta = datetime.timedelta(seconds=10)
    watch_settle_ms: datetime.timedelta = datetime.timedelta(0)
    service_retry_ms: datetime.timedelta = datetime.timedelta(milliseconds=500)
    balancer_lag_ms: datetime.timedelta = datetime.timedelta(seconds=2)
    drain_max_ms: datetime.timedelta = datetime.timedelta(seconds=60)
    pause_ms: datetime.timedelta = datetime.timedelta(milliseconds=500)
    caller_body_ms: datetime.timedelta = datetime.timedelta(seconds=5)
    caller_idle_ms: datetime.timedelta = datetime.timedelta(seconds=75)
    leaving_grace_ms: datetime.timedelta = datetime.timedelta(0)
    hold_after_pause: bool = True

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns what is wrong with the periods together."""
        if self.silence_ms < 2 * self.heartbeat_ms:
            return (ini.Problem("", "silence_ms must be at least twice heartbeat_ms"),)
        return ()


class SpreadSection(ini.Model):
    """``[spread]``: streams between instances, and which instances watch the service.

    With ``watchers`` the number is for all zones together, and an instance that hears
    nothing of the service for ``stale_ms`` watches too; each place further in the order
    of the instances waits ``stale_step_ms`` longer. Without it, ``watchers_per_zone``
    instances watch in each zone. ``cell_size`` is the number of instances that share the
    calls to backend servers with the ownership ``cell``; 0 lets it follow from the tables.
    With ``first_start`` all instances start together and before there is traffic, so that only
    watchers read the service.
    """

    neighbours: Annotated[int, msgspec.Meta(ge=2, le=64)] = 16
    watchers_per_zone: Annotated[int, msgspec.Meta(ge=1, le=8)] = 2
    watchers: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0
    cell_size: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0
    first_start: bool = False
    stale_ms: datetime.timedelta = datetime.timedelta(milliseconds=2000)
    stale_step_ms: datetime.timedelta = datetime.timedelta(milliseconds=300)

    def make_watcher_selection(
        self, instance: data.InstanceId
    ) -> watcher_selection.WatcherSelection:
        """Returns the decision on watching for an instance."""
        stale_seconds = self.stale_ms.total_seconds()
        step_seconds = self.stale_step_ms.total_seconds()
        return watcher_selection.WatcherSelection(
            instance, self.watchers, stale_seconds, step_seconds
        )


class PolicySection(ini.Model):
    """``[policy]``: names of the policies to use."""

    ownership: str = "rendezvous"
    balance: str = "least-loaded"
    hedge: str = "quantile"
    admission: str = "window"
    order: str = "ranked"

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns the names that no policy has."""
        registry.load()
        return tuple(
            ini.Problem(name, f"{getattr(self, name)!r} is not known; known: {known}")
            for name in self.__struct_fields__
            if getattr(self, name) not in (found := registry.names(registry.Kind(name)))
            for known in [", ".join(found)]
        )

    @property
    def has_cells(self) -> bool:
        """Whether instances share the calls to backend servers in cells."""
        return self.ownership == "cell"

    def names(self) -> kernel.PolicyNames:
        """Returns the names for the kernel."""
        return kernel.PolicyNames(**msgspec.structs.asdict(self))


class Settings(ini.Model):
    """All settings of an instance, one attribute for each section."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    timing: TimingSection = TimingSection()
    spread: SpreadSection = SpreadSection()
    policy: PolicySection = PolicySection()
    listen: ListenSection = ListenSection()
    extra_calls: ExtraCallsSection = ExtraCallsSection()

    def owner_options(self) -> owner_config.OwnerOptions:
        """Returns the owner's part of the settings."""
        extra = self.extra_calls
        extra_calls = budget.BudgetOptions(
            allowance=extra.allowance,
            window_seconds=extra.window_seconds,
            refusals_cost=extra.refusals_cost,
            hedges_use_allowance=extra.hedges_use_allowance,
        )
        return owner_config.OwnerOptions(
            extra_calls, self.timing.leaving_grace_ms.total_seconds(), extra.finish_latencies
        )


def parse(file: str, text: str) -> tuple[Settings | None, tuple[data.Finding, ...]]:
    """Parses and checks settings.

    Args:
        file: Name used in findings.
        text: INI text.

    Returns:
        The settings, or None, and everything that is wrong.
    """
    source = ini.read(file, text)
    findings = list(source.findings)
    model_by_name: dict[str, ini.Model] = {}
    field_by_name = {field.name: field for field in msgspec.structs.fields(Settings)}
    for name, field in field_by_name.items():
        section = source.section_by_name.get(name)
        if section is not None:
            model, errors_found = ini.check(source, section, field.type)
            findings.extend(errors_found)
            if model is not None:
                model_by_name[name] = model
        elif field.required and not source.findings:
            place = data.Place(file, name)
            findings.append(data.Finding(place, f"the section [{name}] is missing"))
    for name, section in source.section_by_name.items():
        if name not in field_by_name:
            place = data.Place(file, name, section.line)
            findings.append(data.Finding(place, "no such section"))
    if findings:
        return None, tuple(findings)
    return Settings(**model_by_name), ()


def load(path: pathlib.Path) -> Settings:
    """Reads settings from a file.

    Raises:
        SettingsError: If the file cannot be read or holds errors.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = data.Finding(data.Place(str(path)), f"cannot be read: {error}")
        raise errors.SettingsError((finding,)) from error
    settings, findings = parse(str(path), text)
    if settings is None:
        raise errors.SettingsError(findings)
    return settings
