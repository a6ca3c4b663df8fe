"""The command line."""

from __future__ import annotations

import argparse
import sys
from importlib.metadata import PackageNotFoundError, version

from .config import ConfigError, read_platform
from .log import Log
from .service import Service


def serve(arguments: argparse.Namespace) -> int:
    config = read_platform()
    return Service(config, Log(config.name, config.limits.log_lines_per_s)).run()


def check_config(arguments: argparse.Namespace) -> int:
    config = read_platform()
    where = f"{config.listen[0]}:{config.listen[1]}"
    print(f"{config.name}: {len(config.settings.classes)} classes, listens on {where}")
    return 0


def show_version(arguments: argparse.Namespace) -> int:
    try:
        print(f"harrieryoke {version('harrieryoke')}")
    except PackageNotFoundError:
        print("harrieryoke, from its source tree")
    return 0


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="harrieryoke", description="An invoker before model hosts.")
    parser.set_defaults(run=serve)
    commands = parser.add_subparsers()
    for name, run, text in (
        ("serve", serve, "serve until SIGTERM (also without a command)"),
        ("check-config", check_config, "read and check the configuration"),
        ("version", show_version, "print the version"),
    ):
        commands.add_parser(name, help=text).set_defaults(run=run)
    chosen = parser.parse_args(arguments)
    try:
        return int(chosen.run(chosen))
    except ConfigError as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
        return 2
