"""Table of pools: parses INI text to ``data.Server`` records and merges the parts of a pool.

A pool is published under the key ``pool/NAME``. A pool that is too large for one value is published
in parts, under the keys ``pool/NAME/PART``.
"""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from monsoonhoist import addresses
from monsoonhoist.core import data, diagnostics
from monsoonhoist.tables import ini

KEY_PREFIX = "pool/"
_SERVER_PREFIX = "server "
_NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]


class PoolModel(ini.Model):
    """Options of the ``[pool]`` section."""

    key_space: Annotated[int, msgspec.Meta(ge=1, le=2**62)]


class ServerModel(ini.Model):
    """Options of a ``[server NAME]`` section."""

    service: _NonEmptyStr
    address: str
    zone: _NonEmptyStr
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    leaving: bool = False

    def problems(self) -> tuple[ini.Problem, ...]:
        """Returns an error if the address is invalid or there are fewer connections than slots."""
        found: list[ini.Problem] = []
        address_problem = addresses.find_problem(self.address)
        if address_problem is not None:
            found.append(ini.Problem("address", address_problem))
        if self.connections < self.slots:
            found.append(ini.Problem("", "connections must not be fewer than slots"))
        return tuple(found)


class PoolPart(msgspec.Struct, frozen=True):
    """The parsed content of one value of a pool.

    Attributes:
        pool_id: The pool.
        key_space: Number of keys of the pool; 0 if the section ``[pool]`` is missing or invalid.
        servers: The valid servers.
        findings: All errors in the value.
    """

    pool_id: data.PoolId
    key_space: int
    servers: tuple[data.Server, ...]
    findings: tuple[diagnostics.Finding, ...]


def is_pool_key(key: data.TableKey) -> bool:
    """Returns whether a table key belongs to a pool or to a part of one."""
    return key.startswith(KEY_PREFIX)


def pool_id_of(key: data.TableKey) -> data.PoolId:
    """Returns the pool that a table key belongs to."""
    return data.PoolId(key.removeprefix(KEY_PREFIX).split("/")[0])


def parse(key: data.TableKey, file: str, text: str) -> PoolPart:
    """Parses and validates one value of a pool.

    Args:
        key: Table key of the value.
        file: Source name used in findings.
        text: INI text.

    Returns:
        The valid servers and all findings. A value with findings must not be accepted.
    """
    source = ini.read(file, text)
    findings = list(source.findings)
    key_space = 0
    servers: list[data.Server] = []
    for section in source.section_by_name.values():
        if section.name == "pool":
            pool_model, errors = ini.check(source, section, PoolModel)
            findings.extend(errors)
            key_space = pool_model.key_space if pool_model else 0
        elif section.name.startswith(_SERVER_PREFIX):
            model, errors = ini.check(source, section, ServerModel)
            findings.extend(errors)
            if model is not None:
                servers.append(
                    _make_server(section.name.removeprefix(_SERVER_PREFIX).strip(), model)
                )
        else:
            place = diagnostics.Place(file, section.name, section.line)
            findings.append(diagnostics.Finding(place, "sections must be [pool] or [server NAME]"))
    if not source.findings and "pool" not in source.section_by_name:
        findings.append(
            diagnostics.Finding(diagnostics.Place(file), "the section [pool] is missing")
        )
    return PoolPart(pool_id_of(key), key_space, tuple(servers), tuple(findings))


def merge_parts(pool_id: data.PoolId, parts: Sequence[PoolPart]) -> data.Pool:
    """Merges the accepted parts of a pool.

    If several parts define the same server, the last definition is used.
    """
    server_by_id = {server.server_id: server for part in parts for server in part.servers}
    servers_by_service: dict[data.ServiceId, list[data.Server]] = {}
    for server in server_by_id.values():
        servers_by_service.setdefault(server.service, []).append(server)
    return data.Pool(
        pool_id=pool_id,
        key_space=max(part.key_space for part in parts),
        servers_by_service={
            service: tuple(servers) for service, servers in servers_by_service.items()
        },
    )


def _make_server(name: str, model: ServerModel) -> data.Server:
    return data.Server(
        server_id=data.ServerId(name),
        service=data.ServiceId(model.service),
        address=model.address,
        zone=data.ZoneId(model.zone),
        slots=model.slots,
        connections=model.connections,
        leaving=model.leaving,
    )
