"""The command line."""

from __future__ import annotations

import argparse
import sys

import msgspec
from gevent import monkey

from .config import ConfigError, read_config
from .log import Log
from .service import Service


def serve(arguments: argparse.Namespace) -> int:
    config = read_config(arguments.operator)
    log = Log(config.name, config.limits.log_lines_per_s)
    return Service(config, log, lambda: read_config(arguments.operator)).run()


def check_config(arguments: argparse.Namespace) -> int:
    config = read_config(arguments.operator)
    Service(config, Log(config.name))
    mqtt = None if config.operator is None else config.operator.mqtt
    triggers = "MQTT is off" if mqtt is None else f"{len(mqtt.trigger)} MQTT triggers"
    where = f"{config.listen[0]}:{config.listen[1]}"
    print(f"{config.name}: {len(config.settings.classes)} classes, listens on {where}, {triggers}")
    return 0


def describe(arguments: argparse.Namespace) -> int:
    """Prints what the triggers and the operators' HTTP speak, as AsyncAPI and OpenAPI."""
    from .descriptions import asyncapi, openapi

    operator = read_config(arguments.operator).operator
    triggers = [] if operator is None or operator.mqtt is None else operator.mqtt.trigger
    both = {"asyncapi": asyncapi(triggers), "openapi": openapi()}
    print(msgspec.json.format(msgspec.json.encode(both)).decode())
    return 0


def show_version(arguments: argparse.Namespace) -> int:
    from importlib.metadata import PackageNotFoundError, version

    try:
        print(f"harrieryoke {version('harrieryoke')}")
    except PackageNotFoundError:
        print("harrieryoke, from its source tree")
    return 0


COMMANDS = (
    ("serve", serve, "serve until SIGTERM (also without a command)"),
    ("check-config", check_config, "read and check the configuration"),
    ("describe", describe, "print the AsyncAPI and OpenAPI documents of what is served"),
    ("version", show_version, "print the version"),
)


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="harrieryoke", description="An invoker before model hosts.")
    parser.set_defaults(run=serve, operator=None)
    commands = parser.add_subparsers()
    for name, run, text in COMMANDS:
        command = commands.add_parser(name, help=text)
        command.set_defaults(run=run)
        if run is not show_version:
            command.add_argument("--operator", metavar="FILE", help="the operator's TOML file")
    chosen = parser.parse_args(arguments)
    if chosen.operator is not None:
        # paho opens its sockets and selects through the standard library; patching it costs half of the
        # start's time, so the platform's invoker, which has no paho, starts without
        monkey.patch_all()
    try:
        return int(chosen.run(chosen))
    except ConfigError as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
        return 2
