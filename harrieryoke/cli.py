"""The command line. The platform's start doesn't load this module."""

from __future__ import annotations

import sys
from typing import Annotated, Any

import msgspec
import typer

from .checks import ConfigError
from .council.settings import CouncilError
from .ledger.commands import ledger
from .ledger.decide.book import BookError
from .log import Log
from .ops_client import OpsError
from .plugins.commands import plugin
from .plugins.settings import PluginError
from .store.commands import store
from .store.settings import StoreError

app = typer.Typer(
    add_completion=False,
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="An invoker before model hosts.",
)
app.add_typer(plugin, name="plugin")
app.add_typer(ledger, name="ledger")
app.add_typer(store, name="store")
council = typer.Typer(no_args_is_help=True, help="Duties that one invoker holds at a time (docs/duties.md).")
app.add_typer(council, name="council")
OperatorOption = Annotated[
    str | None, typer.Option("--operator", metavar="FILE", help="the operator's TOML file")
]


@app.command()
def serve(operator: OperatorOption = None) -> None:
    """Serve until SIGTERM (also without a command)."""
    from .serve import patch_standard_library
    from .serve import serve as run

    patch_standard_library(operator)
    raise typer.Exit(run(operator))


@app.command("check-config")
def check_config(operator: OperatorOption = None) -> None:
    """Check the configuration and load the plug-ins."""
    from .serve import load_config, patch_standard_library
    from .service import Service

    patch_standard_library(operator)
    config = load_config(operator)
    service = Service(config, Log(config.name))
    file: Any = config.operator
    mqtt = None if file is None else file.mqtt
    triggers = "MQTT is off" if mqtt is None else f"{len(mqtt.trigger)} MQTT triggers"
    plugins = 0 if service.gate is None else len(file.plugins.use)
    address = f"{config.listen[0]}:{config.listen[1]}"
    print(
        f"{config.name}: {len(config.settings.classes)} classes, listens on {address}, {triggers}, "
        f"{plugins} plug-ins"
    )


@app.command()
def describe(operator: OperatorOption = None) -> None:
    """Print the AsyncAPI and OpenAPI documents of this configuration."""
    from .descriptions import asyncapi, openapi
    from .serve import load_config

    file: Any = load_config(operator).operator
    triggers = [] if file is None or file.mqtt is None else file.mqtt.trigger
    documents = {"asyncapi": asyncapi(triggers), "openapi": openapi()}
    print(msgspec.json.format(msgspec.json.encode(documents)).decode())


@council.command()
def found(
    operator: Annotated[str, typer.Option("--operator", metavar="FILE", help="the operator's TOML file")],
    base: Annotated[
        int, typer.Option(min=0, max=1 << 62, help="greater than every token of a lost council")
    ] = 0,
) -> None:
    """Found a council in this invoker's empty folder: once, and at one invoker only."""
    from .council.disk import Disk
    from .serve import load_config

    config = load_config(operator)
    file: Any = config.operator
    if file.council is None:
        raise ConfigError("council: the operator's file has no [council] table")
    name = file.council.member_name(config.name)
    if name not in file.council.voters:
        raise ConfigError(f"council.voters: {name} is not a voter and can't found the council")
    member = Disk.bootstrap(file.council.store_settings(), name, base)
    print(f"{file.council.installation}: founded by {member.name}, disk {member.disk_id}, after {base}")


@app.command()
def lab(
    name: Annotated[str, typer.Argument(help="the experiment: plugins, door, rounds, ledger or fleet")],
    seed: Annotated[int, typer.Option()] = 1,
    seconds: Annotated[float, typer.Option(help="duration of each case")] = 20.0,
    rate: Annotated[float, typer.Option(help="calls per second")] = 250.0,
    case: Annotated[list[str] | None, typer.Option(help="run only this case; may be repeated")] = None,
    json: Annotated[str | None, typer.Option("--json", metavar="FILE", help="file for the results")] = None,
) -> None:
    """Run an experiment against emulated hosts and write its results."""
    from .lab.experiments import run

    raise typer.Exit(run(name, seed, seconds, json, rate, case))


@app.command()
def version() -> None:
    """Print the version."""
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    try:
        print(f"harrieryoke {installed('harrieryoke')}")
    except PackageNotFoundError:
        print("harrieryoke, from its source tree")


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit code: 2 for invalid arguments or configuration."""
    try:
        app(arguments)
        return 0
    except SystemExit as error:  # typer exits with a code
        return int(error.code or 0)
    except (ConfigError, CouncilError) as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
    except PluginError as error:
        print(f"harrieryoke: plug-in: {error}", file=sys.stderr)
    except OpsError as error:
        print(f"harrieryoke: {error}", file=sys.stderr)
    except (StoreError, BookError) as error:
        print(f"harrieryoke: store: {error}", file=sys.stderr)
    return 2
