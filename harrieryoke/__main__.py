"""Entry point of `python -m harrieryoke`.

Without arguments, as on the platform, the command-line library is not imported.
"""

import sys

if __name__ == "__main__":
    if sys.argv[1:] in ([], ["serve"]):
        from .serve import serve

        sys.exit(serve())
    from .cli import main

    sys.exit(main())
