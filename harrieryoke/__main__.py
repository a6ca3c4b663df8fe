"""`python -m harrieryoke`. Without arguments, as on the platform, no library for arguments is loaded."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] in ([], ["serve"]):
        from .serve import serve

        sys.exit(serve())
    from .cli import main

    sys.exit(main())
