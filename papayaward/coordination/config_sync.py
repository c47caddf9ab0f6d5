"""
papayaward.coordination.config_sync
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration version in force in this process, and its exchange with peers.
"""

import logging
from functools import partial

from ..protocol import mechanisms
from ..protocol.config_text import ConfigError, FleetConfig, parse_config
from ..protocol.gen.ttypes import ConfigPull, ConfigPush
from ..state import metrics

__all__ = ["ConfigHolder"]

log = logging.getLogger(__name__)


class ConfigHolder:
    """Holds the highest configuration version received; versions never decrease.

    Args:
        parse: Function that parses a configuration text, bytes, or raises
            `ConfigError`.
        initial: Configuration before the first version.
    """

    def __init__(self, parse=partial(parse_config, allow_unknown=True), initial=None):
        self._parse = parse
        self._version = 0
        self._text = b"{}"
        self._config = FleetConfig() if initial is None else initial
        self._listeners = []
        # A peer offers a version again with each heartbeat.
        self._rejected_version = None

    @property
    def version(self):
        """Version in force, 0 before the first."""
        return self._version

    @property
    def text(self):
        """Configuration text of the version in force, bytes."""
        return self._text

    @property
    def config(self):
        """Parsed configuration of the version in force."""
        return self._config

    def on_change(self, listener):
        """Registers a listener that is called with the time after each new version."""
        self._listeners.append(listener)

    def offer(self, version, text, now):
        """Puts a version in force if it is higher than the current one.

        Args:
            version: Version number.
            text: Configuration text, bytes.
            now: Monotonic time, seconds.

        Returns:
            bool: Whether the version was put in force.
        """
        if version == self._version:
            return False
        if version < self._version and mechanisms.is_enabled("version_order"):
            return False
        try:
            config = self._parse(text)
        except ConfigError as error:
            # Entries validate every text before they write it, so another program
            # wrote this one; the old version stays in force.
            self._log_rejection(version, error)
            return False
        self._version, self._text, self._config = version, text, config
        metrics.CONFIG_VERSION.set(version)
        log.info("config_in_force", extra={"version": version})
        for listener in self._listeners:
            listener(now)
        return True

    def _log_rejection(self, version, error):
        if version == self._rejected_version:
            return
        self._rejected_version = version
        extra = {"version": version, "error": str(error)[:500]}
        log.error("config_invalid", extra=extra)

    def on_message(self, link, message, now):
        """Handles `ConfigPull` and `ConfigPush`; returns False for other messages."""
        if isinstance(message, ConfigPull):
            if self._version > message.have_version:
                link.try_send(ConfigPush(self._version, self._text))
            return True
        if isinstance(message, ConfigPush):
            self.offer(message.version, message.text, now)
            return True
        return False

    def on_peer_version(self, link, version):
        """Pulls the configuration from a peer that has a higher version."""
        if version > self._version:
            link.try_send(ConfigPull(self._version))
