"""Reads what the invoker was told, and serves. The platform's start goes through here and loads no more."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

from .checks import ConfigError
from .config import Config, read_config
from .log import Log
from .service import Service


def load_config(operator_path: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """The platform's configuration and, where one is given, the operator's file. Raises ConfigError."""
    if operator_path is None:
        return read_config(None, env)
    from .operator_file import read_operator

    return read_config(read_operator(operator_path), env)


def patch_standard_library(operator_path: str | None) -> None:
    """paho opens its sockets and selects through the standard library. Patching costs half of the start's
    time, so the platform's invoker, which has no paho, starts without."""
    if operator_path is not None:
        from gevent import monkey

        monkey.patch_all()


def serve(operator_path: str | None = None) -> int:
    """Until SIGTERM; the exit code."""
    try:
        config = load_config(operator_path)
        make = Log if config.operator is None else config.operator.make_log
        log = make(config.name, config.limits.log_lines_per_s)
        return Service(config, log, lambda: load_config(operator_path)).run()
    except ConfigError as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
        return 2
