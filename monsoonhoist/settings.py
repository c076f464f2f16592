"""Settings of one instance, read from an INI file.

The addresses and the availability zone of a process come from here. Durations are
written as whole milliseconds.
"""

import datetime
import ipaddress
import pathlib

import pydantic

from monsoonhoist import errors
from monsoonhoist.core import budget, data, kernel, owner
from monsoonhoist.policy import registry
from monsoonhoist.tables import ini

_ADDRESS_OR_NONE = r"^([0-9.]+:[0-9]{1,5})?$"


class _Section(pydantic.BaseModel):
    """Base of the sections; unknown options are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class InstanceSection(_Section):
    """``[instance]``: names and addresses of this process.

    Others reach its instance streams at ``peer_port``; where a port mapping lies between,
    ``peer_listen_port`` is the port that the process itself listens on.
    """

    name: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]+$")
    deployment: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]+$")
    zone: str = pydantic.Field(min_length=1)
    host: ipaddress.IPv4Address
    http_port: int = pydantic.Field(ge=1, le=65535)
    peer_port: int = pydantic.Field(ge=1, le=65535)
    peer_listen_port: int = pydantic.Field(default=0, ge=0, le=65535)

    @pydantic.model_validator(mode="after")
    def _distinct_ports(self) -> "InstanceSection":
        if self.http_port == self.peer_port:
            raise ValueError("http_port and peer_port must differ")
        return self


class PlatformSection(_Section):
    """``[platform]``: which dialect is spoken, and where the platform's services are.

    The native dialect has a configuration service and an instance list. The other one
    has a store, and ``seeds`` names instances by which the others are found.
    """

    dialect: str = pydantic.Field(default="native", pattern=r"^(native|platform)$")
    config_url: str = pydantic.Field(default="", pattern=r"^(https?://.*)?$")
    instances_url: str = pydantic.Field(default="", pattern=r"^(https?://.*)?$")
    store: str = pydantic.Field(default="", pattern=_ADDRESS_OR_NONE)
    seeds: str = pydantic.Field(default="", pattern=r"^[0-9.:, ]*$")

    @pydantic.model_validator(mode="after")
    def _complete(self) -> "PlatformSection":
        needed = ("config_url", "instances_url") if self.dialect == "native" else ("store",)
        missing = [name for name in needed if not getattr(self, name)]
        if missing:
            raise ValueError(f"{missing[0]}: needed with dialect = {self.dialect}")
        return self

    def seed_hosts(self) -> tuple[str, ...]:
        """Returns the IP numbers of the seeds."""
        return tuple(seed.strip().split(":")[0] for seed in self.seeds.split(",") if seed.strip())


class ListenSection(_Section):
    """``[listen]``: addresses of the servers where each has its own."""

    callers: str = pydantic.Field(default="", pattern=_ADDRESS_OR_NONE)
    ready: str = pydantic.Field(default="", pattern=_ADDRESS_OR_NONE)
    control: str = pydantic.Field(default="", pattern=_ADDRESS_OR_NONE)


class ExtraCallsSection(_Section):
    """``[extra_calls]``: budgets of calls beyond the first of each sub-request.

    All instances together may make ``allowance`` extra calls to a shard in the length of
    the window, besides ``ratio`` of the first ones.
    """

    by_service: bool = False
    ratio: float = pydantic.Field(default=0.05, ge=0, le=1)
    allowance: float = pydantic.Field(default=40.0, ge=0)
    refusals_cost: bool = False


class LimitsSection(_Section):
    """``[limits]``: sizes that are refused above."""

    body_bytes: int = pydantic.Field(default=65_536, ge=256, le=16_777_216)
    frame_bytes: int = pydantic.Field(default=4_194_304, ge=65_536, le=67_108_864)
    stream_buffer_bytes: int = pydantic.Field(default=33_554_432, ge=65_536)
    callers: int = pydantic.Field(default=10_000, ge=1)
    results: int = pydantic.Field(default=1_000, ge=1, le=100_000)


class TimingSection(_Section):
    """``[timing]``: periods and limits of time, in milliseconds."""

    heartbeat_ms: ini.Milliseconds = datetime.timedelta(milliseconds=200)
    silence_ms: ini.Milliseconds = datetime.timedelta(milliseconds=800)
    backend_connect_ms: ini.Milliseconds = datetime.timedelta(milliseconds=150)
    backend_idle_ms: ini.Milliseconds = datetime.timedelta(seconds=30)
    instances_poll_ms: ini.Milliseconds = datetime.timedelta(seconds=1)
    watch_ms: ini.Milliseconds = datetime.timedelta(seconds=10)
    watch_settle_ms: ini.Milliseconds = datetime.timedelta(0)
    service_retry_ms: ini.Milliseconds = datetime.timedelta(milliseconds=500)
    balancer_lag_ms: ini.Milliseconds = datetime.timedelta(seconds=2)
    drain_max_ms: ini.Milliseconds = datetime.timedelta(seconds=60)
    pause_ms: ini.Milliseconds = datetime.timedelta(milliseconds=500)
    caller_body_ms: ini.Milliseconds = datetime.timedelta(seconds=5)
    caller_idle_ms: ini.Milliseconds = datetime.timedelta(seconds=75)
    leaving_grace_ms: ini.Milliseconds = datetime.timedelta(0)
    hold_after_pause: bool = True

    @pydantic.model_validator(mode="after")
    def _silence_spans_heartbeats(self) -> "TimingSection":
        if self.silence_ms < 2 * self.heartbeat_ms:
            raise ValueError("silence_ms must be at least twice heartbeat_ms")
        return self


class SpreadSection(_Section):
    """``[spread]``: streams between instances."""

    neighbours: int = pydantic.Field(default=16, ge=2, le=64)
    watchers_per_zone: int = pydantic.Field(default=2, ge=1, le=8)


class PolicySection(_Section):
    """``[policy]``: names of the policies to use."""

    ownership: str = "rendezvous"
    balance: str = "least-loaded"
    hedge: str = "quantile"
    admission: str = "window"
    order: str = "ranked"

    @pydantic.model_validator(mode="after")
    def _registered(self) -> "PolicySection":
        registry.load()
        for kind in map(registry.Kind, type(self).model_fields):
            name = getattr(self, kind.value)
            if name not in registry.names(kind):
                known = ", ".join(registry.names(kind))
                raise ValueError(f"{kind.value}: {name!r} is not known; known: {known}")
        return self

    def names(self) -> kernel.PolicyNames:
        """Returns the names for the kernel."""
        return kernel.PolicyNames(**self.model_dump())


class Settings(_Section):
    """All settings of an instance, one attribute for each section."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    timing: TimingSection = TimingSection()
    spread: SpreadSection = SpreadSection()
    policy: PolicySection = PolicySection()
    listen: ListenSection = ListenSection()
    extra_calls: ExtraCallsSection = ExtraCallsSection()

    def owner_options(self) -> owner.OwnerOptions:
        """Returns the owner's part of the settings."""
        extra = self.extra_calls
        extra_calls = budget.BudgetOptions(
            capacity_tokens=extra.allowance,
            by_service=extra.by_service,
            refusals_cost=extra.refusals_cost,
        )
        return owner.OwnerOptions(extra_calls, self.timing.leaving_grace_ms.total_seconds())


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
    model_by_name: dict[str, pydantic.BaseModel] = {}
    for name, field in Settings.model_fields.items():
        section = source.section_by_name.get(name)
        if section is not None:
            model, errors_found = ini.check(source, section, field.annotation)
            findings.extend(errors_found)
            if model is not None:
                model_by_name[name] = model
        elif field.is_required() and not source.findings:
            place = data.Place(file, name)
            findings.append(data.Finding(place, f"the section [{name}] is missing"))
    for name, section in source.section_by_name.items():
        if name not in Settings.model_fields:
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
