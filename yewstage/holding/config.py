"""The configuration of a process of the replicated state service: typed values from a JSON file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yewstage.net.config import Address, ConfigError, address
from yewstage.raft.core import Settings
from yewstage.registry.config import NAME, Config, Fields, service_fields


@dataclass(slots=True, frozen=True)
class HoldingConfig:
    """The configuration of one process; the fields have the names of the file's keys."""

    cluster: str  # a folder of another cluster is refused
    name: str  # of the machine, unique in the cluster
    zone: str
    peer: Address  # where the other processes reach it
    peers: Mapping[str, Address]  # addresses of other processes by name, as reached from here
    copies: int  # voters per group
    gone_ms: float  # silence after which a member is replaced, if a free machine is running
    copy_bytes_per_s: float  # to learners, over all groups of this process
    settings: Settings
    service: Config


def holding_config(raw: Mapping[str, object]) -> HoldingConfig:
    """Read the configuration; ConfigError names the field that is wrong."""
    fields = Fields(raw)
    known = Settings()
    config = HoldingConfig(
        cluster=fields.name("cluster"),
        name=fields.name("name"),
        zone=fields.optional("zone"),
        peer=fields.address("peer"),
        peers=_peers(raw.get("peers")),
        copies=fields.integer("copies", 3, 1, 7),
        gone_ms=fields.number("gone_ms", 30_000.0, 100.0),
        copy_bytes_per_s=fields.number("copy_bytes_per_s", 16e6, 1000.0),
        settings=Settings(
            heartbeat_ms=fields.number("heartbeat_ms", known.heartbeat_ms, 1.0),
            election_ms=fields.number("election_ms", known.election_ms, 10.0),
        ),
        service=service_fields(fields),
    )
    fields.done("peers")
    if config.copies % 2 == 0:
        raise ConfigError("copies: must be odd: an even number tolerates no more losses than one less")
    if config.settings.election_ms < 3 * config.settings.heartbeat_ms:
        raise ConfigError("election_ms: must be at least three times heartbeat_ms")
    if config.name in config.peers:
        raise ConfigError(f"peers.{config.name}: is this process itself")
    return config


def _peers(raw: object) -> dict[str, Address]:
    if not isinstance(raw, dict):
        raise ConfigError("peers: must be an object of addresses by name")
    for name in raw:
        if not NAME.fullmatch(name):
            raise ConfigError(f"peers.{name}: is not a valid name")
    return {name: address({f"peers.{name}": at}, f"peers.{name}") for name, at in raw.items()}
