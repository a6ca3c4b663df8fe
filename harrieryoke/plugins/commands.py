"""The commands `harrieryoke plugin ...`, for authors and operators of plug-ins."""

from __future__ import annotations

import base64
import time
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from ..ops_client import ask
from .decide.trust import TrustedKey
from .package import read_package, sign, verify
from .settings import PluginError

plugin = typer.Typer(no_args_is_help=True, help="Make, try, sign and swap plug-ins.")
Json = Annotated[bool, typer.Option("--json", help="print one JSON object")]
PluginPath = Annotated[
    str, typer.Argument(metavar="PATH", help="a directory with plugin.toml, or a bare file")
]
Ops = Annotated[
    str, typer.Option("--ops", metavar="HOST:PORT", help="the operators' HTTP of a running invoker")
]

TEMPLATES = {
    "starlark": (
        "plugin.star",
        '''\
def on_request(request):
    """Keeps calls away from zone-b where there is a choice."""
    return {"avoid": ["zone:zone-b"], "label": request["class"]}
''',
    ),
    "wasm": (
        "plugin.wat",
        """\
(module
  (import "harrieryoke" "avoid" (func $avoid (param i32 i32)))
  (memory (export "memory") 1)
  (data (i32.const 0) "zone:zone-b")
  ;; Keeps calls away from zone-b where there is a choice.
  (func (export "on_request") (result i32)
    (call $avoid (i32.const 0) (i32.const 11))
    (i32.const 0)))
""",
    ),
}


def print_figures(figures: Any, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(figures).decode())
        return
    for key, value in figures.items():
        print(f"{key:12} {value}")


@plugin.command()
def new(
    path: Annotated[str, typer.Argument(metavar="DIR")],
    engine: Annotated[str, typer.Option(help="starlark or wasm")] = "starlark",
) -> None:
    """Write a small plug-in to begin with."""
    if engine not in TEMPLATES:
        raise PluginError(f"engine: one of {', '.join(TEMPLATES)} is wanted, not {engine!r}")
    folder, (file, code) = Path(path), TEMPLATES[engine]
    if folder.exists():
        raise PluginError(f"{path}: it exists")
    folder.mkdir(parents=True)
    name = "".join(c if c.isalnum() else "-" for c in folder.name.lower()).strip("-") or "plugin"
    (folder / file).write_text(code)
    (folder / "plugin.toml").write_text(
        f'name = "{name}"\nversion = "0.1.0"\nabi = 1\nengine = "{engine}"\nfile = "{file}"\n'
        'hooks = ["on_request"]\ncapabilities = ["advise"]\n'
    )
    print(f"{path}: plugin.toml and {file}")


@plugin.command()
def check(path: PluginPath, as_json: Json = False) -> None:
    """Read a plug-in, load it as the daemon would, and name its hooks."""
    from .bench import load_plugin

    package, instance = load_plugin(path)
    figures = {
        "name": package.manifest.name,
        "version": package.manifest.version,
        "digest": package.digest,
        "engine": package.manifest.engine,
        "hooks": sorted(instance.hooks),
        "capabilities": sorted(instance.capabilities),
    }
    print_figures(figures, as_json)


@plugin.command()
def run(
    path: PluginPath,
    calls: Annotated[int, typer.Option(min=1)] = 1000,
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Json = False,
) -> None:
    """Play synthetic calls through a plug-in exactly as the daemon would. Exits with 0 whatever it does."""
    from .bench import play

    print_figures(play(path, calls, seed), as_json)


@plugin.command()
def bench(
    path: PluginPath,
    calls: Annotated[int, typer.Option(min=1)] = 5000,
    seed: Annotated[int, typer.Option()] = 1,
    as_json: Json = False,
) -> None:
    """Calls a second that one plug-in carries, one behind the other, and with eight at a time."""
    from .bench import play

    alone, many = play(path, calls, seed), play(path, calls, seed, concurrency=8)
    print_figures({"one": alone, "eight": many}, as_json)


@plugin.command("sign")
def sign_command(
    path: PluginPath,
    key: Annotated[str, typer.Option(help="the key's name, as the operator's file has it")],
    private: Annotated[
        str, typer.Option(metavar="FILE", help="base64 of the 32 bytes; made where there is none")
    ],
    days: Annotated[float, typer.Option(help="until the signature expires; 0: never")] = 0.0,
) -> None:
    """Sign a plug-in's directory with an Ed25519 key."""
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

    file = Path(private)
    if not file.exists():
        generated = Ed25519PrivateKey.generate()
        file.touch(0o600)
        file.write_text(base64.b64encode(generated.private_bytes_raw()).decode() + "\n")
    try:
        private_bytes = base64.b64decode(file.read_text().strip(), validate=True)
        public = Ed25519PrivateKey.from_private_bytes(private_bytes).public_key().public_bytes_raw()
    except ValueError as error:
        raise PluginError(f"{private}: {error}") from None
    expires = (time.time() + days * 86400) * 1000 if days else 0.0
    print(sign(read_package(path), key, private_bytes, expires))
    print(f'[[plugins.trusted]]\nname = "{key}"\nkey = "{base64.b64encode(public).decode()}"')


@plugin.command("verify")
def verify_command(
    path: PluginPath,
    key: Annotated[list[str], typer.Option(metavar="NAME=BASE64", help="a trusted key; as often as wanted")],
) -> None:
    """Check a plug-in's signature against trusted keys."""
    trusted = []
    for text in key:
        name, _, value = text.partition("=")
        trusted.append(TrustedKey(name, value))
        try:
            trusted[-1].decode()
        except ValueError as error:
            raise PluginError(str(error)) from None
    package = read_package(path)
    verify(package, "required", trusted, time.time() * 1000)
    print(f"{package.text()}: signed by {package.signed_by}")


@plugin.command("list")
def list_command(ops: Ops, as_json: Json = False) -> None:
    """The plug-ins of a running invoker."""
    status = ask(ops, "GET", "/plugins")
    if as_json:
        return print_figures(status, True)
    print(
        f"{'plug-in':24} {'version':10} {'stage':10} {'state':10} {'calls':>9} {'faults':>7} {'p99 us':>7} MB"
    )
    for entry in status["plugins"]:
        for version in entry["versions"].values():
            print(
                f"{entry['name']:24} {version['version']:10} {version['stage']:10} {version['state']:10} "
                f"{version['calls']:9} {sum(version['faults'].values()):7} {version['p99_us']:7} "
                f"{version['peak_mb']}"
            )
        if entry["last_swap"]:
            print(f"    {entry['last_swap']}")


@plugin.command()
def swap(
    ops: Ops,
    name: Annotated[str | None, typer.Argument(help="one plug-in; all without")] = None,
    wait: Annotated[float, typer.Option(help="seconds to wait for the outcome")] = 10.0,
) -> None:
    """Have a running invoker read a plug-in anew; say what became of it, with 1 if it does not serve."""
    before = {p["name"]: (p["serving"], p["last_swap"]) for p in ask(ops, "GET", "/plugins")["plugins"]}
    ask(ops, "POST", "/plugins/swap", **({"name": name} if name else {}))
    end, pending, succeeded = time.monotonic() + wait, [n for n in before if name in (None, n)], True
    while pending and time.monotonic() < end:
        time.sleep(0.1)
        for entry in ask(ops, "GET", "/plugins")["plugins"]:
            if entry["name"] in pending and entry["last_swap"] != before[entry["name"]][1]:
                pending.remove(entry["name"])
                succeeded = succeeded and (
                    entry["last_swap"].endswith("in service") or "nothing new" in entry["last_swap"]
                )
                print(f"{entry['name']}: {entry['last_swap']}")
    for pending_name in pending:
        print(f"{pending_name}: still on trial")
    raise typer.Exit(0 if succeeded and not pending else 1)
