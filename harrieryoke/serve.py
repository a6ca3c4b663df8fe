"""Starts the invoker. The platform starts it here, without loading the command line's libraries."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

from .checks import ConfigError
from .config import Config, read_config
from .log import Log
from .service import Service


def load_config(operator_path: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """Read the platform's configuration and, if given, the operator's file. Raises ConfigError."""
    if operator_path is None:
        return read_config(None, env)
    from .operator_file import read_operator

    return read_config(read_operator(operator_path), env)


def patch_standard_library(operator_path: str | None) -> None:
    """Patch the standard library for gevent, which paho needs for its sockets and selects.

    Patching takes half of the start time, so an invoker without an operator's file, and so without paho,
    starts without it.
    """
    if operator_path is not None:
        from gevent import monkey

        monkey.patch_all()


def serve(operator_path: str | None = None) -> int:
    """Serve until SIGTERM. Return the exit code."""
    try:
        config = load_config(operator_path)
        make_log = Log if config.operator is None else config.operator.make_log
        log = make_log(config.name, config.limits.log_lines_per_s)
        return Service(config, log, lambda: load_config(operator_path)).run()
    except ConfigError as error:
        print(f"harrieryoke: configuration: {error}", file=sys.stderr)
        return 2
