"""
papayaward.__main__
~~~~~~~~~~~~~~~~~~~

Runs the daemon with `python -m papayaward`.
"""

from .daemon import run

__all__ = []

run()
