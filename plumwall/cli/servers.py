"""Commands for the list service: listed servers, draining and leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import click

from plumwall.cli.console import (
    BadInputError,
    WorkFailedError,
    json_option,
    parse_host_port,
    print_json,
    print_table,
    show_progress,
)
from yewstage.net.config import Address
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.config import NAME

TRIES_PER_ADDRESS = 2  # repeating any of these calls is harmless


def parse_addresses(context: click.Context, parameter: click.Parameter, value: str) -> list[Address]:
    """Click callback: parse the HOST:PORT[,...] of `--at`; raises BadInputError."""
    return [parse_host_port("--at", at) for at in value.split(",")]


def at_option(command: Callable) -> Callable:
    """Decorator that adds the `--at` option with the addresses of the service."""
    return click.option(
        "--at",
        required=True,
        metavar="HOST:PORT[,...]",
        callback=parse_addresses,
        envvar="PLUMWALL_REGISTRY",
        show_envvar=True,
        help="Addresses of the list service.",
    )(command)


def _parse_server_name(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not NAME.fullmatch(value):
        raise BadInputError(f"ID: {value!r} is not a valid server name")
    return value


def call_service(
    at: list[Address], method: str, path: str, body: dict[str, object] | None = None, quiet: bool = False
) -> dict[str, object]:
    """Call the list service or the holding, and return the body of its answer.

    Retries with backoff while no address answers or the answer is 503, as from a replica without a leader.
    Raises WorkFailedError with the error of the service for any status but 200.
    """

    async def call_with_retries() -> ServiceReply:
        client = ServiceClient(at)
        try:
            with show_progress("calling the service", quiet) as report:
                for tries_left in reversed(range(TRIES_PER_ADDRESS * len(at))):
                    try:
                        reply = await client.call(method, path, body)
                        if reply.status != 503 or not tries_left:
                            return reply
                        report(str(reply.body.get("error", "")))  # another address may be the leader
                    except NoAnswerError as error:
                        report(f"no answer: {error}")
                        if not tries_left:
                            raise
                    await asyncio.sleep(client.backoff_s())
        finally:
            client.close()
        raise AssertionError("unreachable: the last try returns or raises")

    try:
        reply = asyncio.run(call_with_retries())
    except NoAnswerError as error:
        raise WorkFailedError(f"no answer from the service: {error}") from None
    if reply.status != 200:
        raise WorkFailedError(f"{reply.status}: {reply.body.get('error', 'no reason given')}")
    return reply.body


@click.command()
@at_option
@json_option
def servers(at: list[Address], json_: bool) -> None:
    """Show the servers in the list service's current list.

    \b
    Example:
      plumwall servers --at 127.0.0.1:8500
    """
    body = call_service(at, "GET", "/v1/endpoints", quiet=json_)
    columns = ("instanceId", "hostPort", "zone", "cell", "lifecycle", "weight", "startedAtMs")
    rows = [[row.get(name, "") for name in columns] for row in body["instances"]]
    print_table(columns, rows, f"revision {body['generation']}", json_)


def _set_draining(at: list[Address], name: str, draining: bool, json_: bool) -> None:
    body = call_service(at, "POST", f"/v1/endpoints/{name}/drain", {"draining": draining}, quiet=json_)
    if json_:
        print_json({"id": name, **body})
    else:
        click.echo(f"{name}: {body.get('lifecycle', 'gone')} at revision {body['revision']}")


@click.command()
@click.argument("name", metavar="ID", callback=_parse_server_name)
@at_option
@json_option
def drain(name: str, at: list[Address], json_: bool) -> None:
    """Drain a server: gateways send it no new requests.

    \b
    Example:
      plumwall drain s-4 --at 127.0.0.1:8500
    """
    _set_draining(at, name, True, json_)


@click.command()
@click.argument("name", metavar="ID", callback=_parse_server_name)
@at_option
@json_option
def undrain(name: str, at: list[Address], json_: bool) -> None:
    """End the draining of a server, so that gateways send it requests again.

    \b
    Example:
      plumwall undrain s-4 --at 127.0.0.1:8500
    """
    _set_draining(at, name, False, json_)


@click.command()
@at_option
@json_option
def leases(at: list[Address], json_: bool) -> None:
    """Show the leases: holder, fencing token and remaining time.

    \b
    Example:
      plumwall leases --at 127.0.0.1:8500 --json
    """
    body = call_service(at, "GET", "/v1/leases", quiet=json_)
    columns = ("name", "holder", "token", "endsInMs")
    print_table(columns, [[lease[name] for name in columns] for lease in body["leases"]], json_=json_)
