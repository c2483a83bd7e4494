"""Commands to a list service: its servers, their drains, who holds which duty."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import click

from plumwall.cli.console import (
    BadFileError,
    WorkFailedError,
    as_json,
    host_port,
    say_json,
    say_table,
    waiting,
)
from yewstage.net.config import Address
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.config import NAME

TRIES = 2  # of each address; repeating any of these calls is harmless


def addresses(context: click.Context, parameter: click.Parameter, value: str) -> list[Address]:
    """An option's HOST:PORT,..."""
    return [host_port("--at", at) for at in value.split(",")]


def at_option(command: Callable) -> Callable:
    """Where the service is."""
    return click.option(
        "--at",
        required=True,
        metavar="HOST:PORT[,...]",
        callback=addresses,
        envvar="PLUMWALL_REGISTRY",
        show_envvar=True,
        help="Addresses of the list service.",
    )(command)


def _id(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not NAME.fullmatch(value):
        raise BadFileError(f"ID: {value!r} is not the name of a server")
    return value


def ask(
    at: list[Address], method: str, path: str, body: dict[str, object] | None = None, quiet: bool = False
) -> dict[str, object]:
    """One call, repeated while nobody answers or nobody leads; fails with what the service said."""

    async def call() -> ServiceReply:
        client = ServiceClient(at)
        try:
            with waiting("asking the list service", quiet) as say:
                for left in reversed(range(TRIES * len(at))):
                    try:
                        told = await client.call(method, path, body)
                        if told.status != 503 or not left:
                            return told
                        say(str(told.body.get("error", "")))  # another one may know better
                    except NoAnswerError as error:
                        say(f"no answer: {error}")
                        if not left:
                            raise
                    await asyncio.sleep(client.backoff_s())
        finally:
            client.close()
        raise AssertionError("unreachable: the last try answers or raises")

    try:
        told = asyncio.run(call())
    except NoAnswerError as error:
        raise WorkFailedError(f"no answer from the list service: {error}") from None
    if told.status != 200:
        raise WorkFailedError(f"{told.status}: {told.body.get('error', 'no reason given')}")
    return told.body


@click.command()
@at_option
@as_json
def servers(at: list[Address], json_: bool) -> None:
    """Show the servers that the list service tells of.

    \b
    Example:
      plumwall servers --at 127.0.0.1:8500
    """
    body = ask(at, "GET", "/v1/endpoints", quiet=json_)
    columns = ("instanceId", "hostPort", "zone", "cell", "lifecycle", "weight", "startedAtMs")
    rows = [[row.get(name, "") for name in columns] for row in body["instances"]]
    say_table(columns, rows, f"revision {body['generation']}", json_)


def _drain(at: list[Address], name: str, draining: bool, json_: bool) -> None:
    body = ask(at, "POST", f"/v1/endpoints/{name}/drain", {"draining": draining}, quiet=json_)
    if json_:
        say_json({"id": name, **body})
    else:
        click.echo(f"{name}: {body.get('lifecycle', 'gone')} at revision {body['revision']}")


@click.command()
@click.argument("name", metavar="ID", callback=_id)
@at_option
@as_json
def drain(name: str, at: list[Address], json_: bool) -> None:
    """Send nothing new to a server.

    \b
    Example:
      plumwall drain s-4 --at 127.0.0.1:8500
    """
    _drain(at, name, True, json_)


@click.command()
@click.argument("name", metavar="ID", callback=_id)
@at_option
@as_json
def undrain(name: str, at: list[Address], json_: bool) -> None:
    """Send to a server again.

    \b
    Example:
      plumwall undrain s-4 --at 127.0.0.1:8500
    """
    _drain(at, name, False, json_)


@click.command()
@at_option
@as_json
def leases(at: list[Address], json_: bool) -> None:
    """Show who holds which duty, under which token, and for how long yet.

    \b
    Example:
      plumwall leases --at 127.0.0.1:8500 --json
    """
    body = ask(at, "GET", "/v1/leases", quiet=json_)
    columns = ("name", "holder", "token", "endsInMs")
    say_table(columns, [[lease[name] for name in columns] for lease in body["leases"]], json_=json_)
