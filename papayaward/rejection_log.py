"""
papayaward.rejection_log
~~~~~~~~~~~~~~~~~~~~~~~~

Logs entries of lists that another program wrote and that cannot be used.

A list is read again after each change, and an unusable entry may stay there for days.
"""

__all__ = ["RejectionLog"]

# Number of keys that are remembered. Further ones are not logged, since another program
# may write new keys without end.
_MAX_KEYS = 1000
_MAX_SHOWN_CHARACTERS = 200


class RejectionLog:
    """Logs each rejected key once, until it is accepted.

    Args:
        log: Logger.
        event: Name of the event.
        field: Name of the field that holds the key.
    """

    def __init__(self, log, event, field="key"):
        self._log = log
        self._event = event
        self._field = field
        self._keys = set()

    def reject(self, key, error):
        """Logs an unusable entry, unless it was logged before.

        Args:
            key: Key of the entry; may be of any type.
            error: Reason.
        """
        shown = _shown(key)
        if shown in self._keys or len(self._keys) >= _MAX_KEYS:
            return
        self._keys.add(shown)
        extra = {self._field: shown, "error": str(error)}
        self._log.warning(self._event, extra=extra)
        if len(self._keys) == _MAX_KEYS:
            self._log.warning("further_rejections_not_logged", extra=extra)

    def accept(self, key):
        """Records a usable entry; it is logged again if it becomes unusable."""
        if self._keys:
            self._keys.discard(_shown(key))


def _shown(key):
    """Returns a text for a key that may be huge, or no text at all."""
    if isinstance(key, str):
        key = key[:_MAX_SHOWN_CHARACTERS]
        return key if key.isascii() else ascii(key)
    return ascii(key)[:_MAX_SHOWN_CHARACTERS]
