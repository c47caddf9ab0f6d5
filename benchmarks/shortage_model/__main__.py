"""
benchmarks.shortage_model.__main__
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entry point of `python -m benchmarks.shortage_model`.
"""

import sys

from . import main

__all__ = []

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
