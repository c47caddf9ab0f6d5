"""
papayaward.transport.entry_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client for the entries, with failover to the next entry.
"""

import json
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPException
from ssl import create_default_context

import gevent
from geventhttpclient import HTTPClient

from ..protocol.options import OptionError, get_address, read_object

__all__ = ["EntryClient", "EntryReply", "EntryUnavailable"]

_CONNECT_TIMEOUT_S = 2.0


class EntryUnavailable(Exception):
    """No entry answered.

    Attributes:
        sent: Whether an entry may have received the request.
    """

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


@dataclass(frozen=True)
class EntryReply:
    """Reply of an entry.

    Attributes:
        entry: Address of the entry, as passed to `EntryClient`.
        status: HTTP status.
        body: Response body, bytes.
        headers: Header values by lower-case name.
        maybe_applied: Whether another entry may have carried out the request already.
    """

    entry: str
    status: int
    body: bytes
    headers: dict = field(default_factory=dict)
    maybe_applied: bool = False

    @property
    def json(self):
        """The JSON object in the body; one with `detail` if the body is none."""
        try:
            return read_object(self.body)
        except OptionError:
            return {"detail": self.body[:200].decode("utf-8", "replace")}


class EntryClient:
    """Sends requests to entries.

    A request without a response is sent to the next entry, so every request must be
    idempotent.

    Args:
        entries: Texts `host:port` or `https://host:port`.
        ca_file: PEM file with the CA certificate of the entries, or None.

    Raises:
        OptionError: There is no entry, or an entry is not an address.
    """

    def __init__(self, entries, ca_file=None):
        if not entries:
            raise OptionError("--entry", "", "at least one HOST:PORT")
        self._addresses = {entry: _parse(entry) for entry in entries}
        self._context = partial(create_default_context, cafile=ca_file)
        self._preferred = 0

    @property
    def entries(self):
        """Addresses of the entries, as passed to the constructor."""
        return tuple(self._addresses)

    def request(self, method, path, document=None, timeout_s=5.0, retry_statuses=()):
        """Returns the `EntryReply` of the first entry that answers.

        Args:
            method: HTTP method.
            path: Path with query.
            document: JSON document, or None.
            timeout_s: Response timeout for each entry, in seconds.
            retry_statuses: HTTP statuses after which the next entry is tried.

        Raises:
            EntryUnavailable: No entry answered.
        """
        order = self.entries[self._preferred :] + self.entries[: self._preferred]
        failures, sent, last = [], False, None
        for entry in order:
            try:
                reply = self.request_one(entry, method, path, document, timeout_s)
            except EntryUnavailable as error:
                failures.append(f"{entry}: {error}")
                sent = sent or error.sent
                continue
            self._preferred = self.entries.index(entry)
            last = EntryReply(entry, reply.status, reply.body, reply.headers, sent)
            if reply.status not in retry_statuses:
                return last
            # 504 means that the request may have been carried out.
            sent = sent or reply.status == 504
        if last is None:
            raise EntryUnavailable("; ".join(failures), sent)
        return EntryReply(last.entry, last.status, last.body, last.headers, sent)

    def request_one(self, entry, method, path, document=None, timeout_s=5.0):
        """Returns the `EntryReply` of one entry.

        Raises:
            EntryUnavailable: The entry did not answer.
        """
        tls, (host, port) = self._addresses[entry]
        client = HTTPClient(
            host,
            port,
            connection_timeout=_CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
            ssl=tls,
            ssl_context_factory=self._context if tls else None,
        )
        body = "" if document is None else json.dumps(document)
        try:
            timeout_error = TimeoutError(f"no answer within {timeout_s:g} s")
            with gevent.Timeout(timeout_s + _CONNECT_TIMEOUT_S, timeout_error):
                response = client.request(method, path, body=body)
                content = bytes(response.read())
        except (OSError, HTTPException) as error:
            sent = not isinstance(error, ConnectionRefusedError)
            raise EntryUnavailable(str(error) or type(error).__name__, sent) from None
        finally:
            client.close()
        headers = {name.lower(): value for name, value in response.items()}
        return EntryReply(entry, response.status_code, content, headers)


def _parse(entry):
    tls = entry.startswith("https://")
    address = entry.removeprefix("https://").removeprefix("http://")
    return tls, get_address({"--entry": address.rstrip("/")}, "--entry")
