"""The command line, for all but the platform's lean start."""

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
council = typer.Typer(no_args_is_help=True, help="Duties that one invoker has at a time (docs/duties.md).")
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
    """Read and check the configuration, and load the plug-ins."""
    from .serve import load_config, patch_standard_library
    from .service import Service

    patch_standard_library(operator)
    config = load_config(operator)
    service = Service(config, Log(config.name))
    told: Any = config.operator
    mqtt = None if told is None else told.mqtt
    triggers = "MQTT is off" if mqtt is None else f"{len(mqtt.trigger)} MQTT triggers"
    plugins = 0 if service.gate is None else len(told.plugins.use)
    where = f"{config.listen[0]}:{config.listen[1]}"
    print(
        f"{config.name}: {len(config.settings.classes)} classes, listens on {where}, {triggers}, "
        f"{plugins} plug-ins"
    )


@app.command()
def describe(operator: OperatorOption = None) -> None:
    """Print the AsyncAPI and OpenAPI documents of what is served."""
    from .descriptions import asyncapi, openapi
    from .serve import load_config

    told: Any = load_config(operator).operator
    triggers = [] if told is None or told.mqtt is None else told.mqtt.trigger
    both = {"asyncapi": asyncapi(triggers), "openapi": openapi()}
    print(msgspec.json.format(msgspec.json.encode(both)).decode())


@council.command()
def found(
    operator: Annotated[str, typer.Option("--operator", metavar="FILE", help="the operator's TOML file")],
    base: Annotated[
        int, typer.Option(min=0, max=1 << 62, help="above every token of a council that was lost")
    ] = 0,
) -> None:
    """Found a council in this invoker's empty folder: once, and at one invoker alone."""
    from .council.disk import Disk
    from .serve import load_config

    config = load_config(operator)
    told: Any = config.operator
    if told.council is None:
        raise ConfigError("council: the operator's file has no such table")
    name = told.council.member(config.name)
    if name not in told.council.voters:
        raise ConfigError(f"council.voters: {name} founds, and is none of them")
    seat = Disk.bootstrap(told.council.store_settings(), name, base)
    print(f"{told.council.installation}: founded by {seat.name}, disk {seat.disk_id}, after {base}")


@app.command()
def lab(
    name: Annotated[str, typer.Argument(help="the experiment: plugins, door, rounds, ledger or fleet")],
    seed: Annotated[int, typer.Option()] = 1,
    seconds: Annotated[float, typer.Option(help="for each case")] = 20.0,
    rate: Annotated[float, typer.Option(help="calls a second")] = 250.0,
    case: Annotated[list[str] | None, typer.Option(help="only this case; as often as wanted")] = None,
    json: Annotated[str | None, typer.Option("--json", metavar="FILE", help="where the figures go")] = None,
) -> None:
    """Play an experiment against emulated hosts and write its figures."""
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
    """The exit code: 0, or 2 for what can't be used."""
    try:
        app(arguments)
        return 0
    except SystemExit as ended:  # the library's own way out, with its code
        return int(ended.code or 0)
    except (ConfigError, CouncilError) as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
    except PluginError as error:
        print(f"harrieryoke: plug-in: {error}", file=sys.stderr)
    except OpsError as error:
        print(f"harrieryoke: {error}", file=sys.stderr)
    except (StoreError, BookError) as error:
        print(f"harrieryoke: store: {error}", file=sys.stderr)
    return 2
