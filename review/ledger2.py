"""What the cases of the ledger share: the operator's file, the collector, calls of the operators' HTTP."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

from world2 import ROOT, NotRunError, World

OPERATOR = """
[ops]
listen = "{ops}"
[store]
folder = "{folder}"
[ledger]
period_s = {period_s}
[ledger.collector]
address = "{collector}"
"""


def start_collector(world: World, path: Path) -> str:
    process = subprocess.Popen(
        [sys.executable, "-B", str(ROOT / "review" / "collector2.py"), str(path)], stdout=subprocess.PIPE
    )
    world.processes.append(process)
    assert process.stdout is not None
    address = process.stdout.readline().decode().strip()
    if not address:
        raise NotRunError("the collector did not start")
    return address


async def ask(world: World, address: str, path: str) -> str:
    """Send one request of an operator; return the status and the body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    answer = (await asyncio.wait_for(reader.read(), 5.0)).decode()
    writer.close()
    text = f"{answer.split()[1]} {answer.rpartition(chr(10))[2]}"
    world.record(f"operator POST {path}: {text}")
    return text
