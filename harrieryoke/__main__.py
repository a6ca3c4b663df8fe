"""`python -m harrieryoke`."""

from gevent import monkey

monkey.patch_all()  # paho opens its sockets and selects through the standard library

import sys  # noqa: E402

from .cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
