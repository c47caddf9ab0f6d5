"""
papayaward.transport.entry_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the entries' HTTP interface that tries the next entry when one fails.
"""

import json
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPException
from ssl import create_default_context

import gevent
from geventhttpclient import HTTPClient

from ..protocol.options import OptionError, get_address

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
        entry: The entry, as it was named.
        status: HTTP status.
        body: bytes.
        headers: Header values by lower-case name.
        maybe_applied: Whether another entry may have carried out the request before.
    """

    entry: str
    status: int
    body: bytes
    headers: dict = field(default_factory=dict)
    maybe_applied: bool = False

    @property
    def json(self):
        """The body as a JSON document; an object with `detail` if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {"detail": self.body[:200].decode("utf-8", "replace")}


class EntryClient:
    """Sends requests to entries.

    A request that got no answer is sent to the next entry, so every request must
    have the same effect when it is carried out twice.

    Args:
        entries: Texts `host:port` or `https://host:port`.
        ca_file: PEM file with the authority of the entries' certificates, or None.

    Raises:
        OptionError: An entry is not an address.
    """

    def __init__(self, entries, ca_file=None):
        if not entries:
            raise OptionError("--entry", "", "at least one HOST:PORT")
        self._addresses = {entry: _parse(entry) for entry in entries}
        self._context = partial(create_default_context, cafile=ca_file)
        self._first = 0

    @property
    def entries(self):
        """The entries, as they were named."""
        return tuple(self._addresses)

    def request(self, method, path, document=None, timeout_s=5.0, retry_statuses=()):
        """Returns the `EntryReply` of the first entry that answers.

        Args:
            method: Method.
            path: Path with query.
            document: JSON document, or None.
            timeout_s: Longest wait for each entry, in seconds.
            retry_statuses: Statuses after which the next entry is tried as well.

        Raises:
            EntryUnavailable: No entry answered.
        """
        order = self.entries[self._first :] + self.entries[: self._first]
        failures, sent, last = [], False, None
        for entry in order:
            try:
                reply = self.request_one(entry, method, path, document, timeout_s)
            except EntryUnavailable as error:
                failures.append(f"{entry}: {error}")
                sent = sent or error.sent
                continue
            self._first = self.entries.index(entry)
            last = EntryReply(entry, reply.status, reply.body, reply.headers, sent)
            if reply.status not in retry_statuses:
                return last
            # 504 says that the request may have been carried out.
            sent = sent or reply.status == 504
        if last is None:
            raise EntryUnavailable("; ".join(failures), sent)
        return EntryReply(last.entry, last.status, last.body, last.headers, sent)

    def request_one(self, entry, method, path, document=None, timeout_s=5.0):
        """Returns the `EntryReply` of one entry.

        Raises:
            EntryUnavailable: It did not answer.
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
            late = TimeoutError(f"no answer within {timeout_s:g} s")
            with gevent.Timeout(timeout_s + _CONNECT_TIMEOUT_S, late):
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
