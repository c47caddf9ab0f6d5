"""
papayaward
~~~~~~~~~~

Dispatcher for sub-second tasks across failure domains.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
