"""
papayaward.coordination.fencing_token
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the fencing token of a session without a store.

An upstream does not tell the highest token that it has received. A session begins with
the time of day, which is above the tokens of earlier processes of the VM even if they
were in touch with an earlier lifetime of the upstream. If the time of day was set back,
a higher token may have been received; it is exceeded in steps that double.
"""

__all__ = ["FencingToken"]

_FIRST_STEP_MS = 1000


class FencingToken:
    """Fencing token of one session.

    Args:
        lowest: Lowest token that the session may use. It is above all tokens of the
            earlier sessions of this process.
    """

    def __init__(self, lowest=1):
        self._value = max(1, lowest)
        self._step_ms = _FIRST_STEP_MS

    @property
    def value(self):
        """The token that requests carry."""
        return self._value

    def raise_to(self, clock_ms):
        """Raises the token to a reading of the upstream's clock, milliseconds.

        The clock may be ahead of the time of day.
        """
        self._value = max(self._value, clock_ms)

    def on_fenced(self, rejected):
        """Raises the token unless another rejection of the same one has done so.

        Args:
            rejected: Token of the rejected request.
        """
        if rejected == self._value:
            self._value += self._step_ms
            self._step_ms *= 2

    def raise_above_accepted(self):
        """Raises the token above an accepted one.

        An accepted token may be equal to that of an earlier session.
        """
        self._value += 1
        self._step_ms = _FIRST_STEP_MS
