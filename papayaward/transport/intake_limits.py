"""
papayaward.transport.intake_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits of an HTTP server, and those that follow from the VM it runs on.
"""

from dataclasses import dataclass, replace

__all__ = [
    "IntakeLimits",
    "decoded_limit",
    "limits_of_other_listener",
    "limits_of_vm",
    "other_connections_of_vm",
]

_MIB = 1024 * 1024
# Memory of a connection with a small request: reader, handler and greenlet.
_HANDLER_BYTES = 48 * 1024
# Set for each direction; the kernel keeps up to twice as much.
_VM_SOCKET_BUFFER_BYTES = 12 * 1024
_CONNECTION_BYTES = _HANDLER_BYTES + 2 * 2 * _VM_SOCKET_BUFFER_BYTES
# Shares of a VM's memory for connections with small requests, and for the budget.
_CONNECTIONS_SHARE = 0.5
_BUDGET_SHARE = 0.125
# Share of a VM's memory for the values of the body that is being decoded.
_DECODED_SHARE = 0.125
# Multiple of its bytes that the values of a job may take: the most that a job has whose
# phases have all fields takes 17.
_DECODED_FACTOR = 20
# Descriptors of a process that the platform reserves for files.
_FILE_DESCRIPTORS = 200
# The rest is for links, the store and other servers of the process.
_DESCRIPTORS_SHARE = 0.75
# Share for each other listener.
_OTHER_DESCRIPTORS_SHARE = 0.04
_MIN_OTHER_CONNECTIONS = 2


@dataclass(frozen=True)
class IntakeLimits:
    """Limits of one server.

    Attributes:
        max_connections: Connections that are open at once.
        socket_buffer_bytes: Buffer of the kernel for each direction of a connection;
            the kernel keeps up to twice as much.
        max_head_bytes: Request line and headers of one request.
        small_bytes: Part of each request that needs no reservation.
        budget_bytes: Reservations of all requests together.
        max_decoded_bytes: Memory of the values of one body; one body at a time is
            decoded.
        max_handshake_s: Time from the acceptance of a connection to the end of its TLS
            handshake, seconds.
        max_head_s: Time from the first byte of a request to the end of its head,
            seconds.
        max_read_s: Time from the first byte of a request to its last, seconds.
        crowded_read_s: The same while the server is crowded.
        max_send_s: Time in which a client takes a response, seconds.
        crowded_send_s: The same while the server is crowded.
        crowded_idle_s: Time without a request after which a connection is closed while
            the server is crowded, seconds.
        full_connection_s: Time after which a connection is closed with its next
            response, or between two requests, while no further one can be opened,
            seconds.
    """

    max_connections: int = 1000
    socket_buffer_bytes: int = 64 * 1024
    max_head_bytes: int = 32 * 1024
    small_bytes: int = 16 * 1024
    budget_bytes: int = 64 * _MIB
    max_decoded_bytes: int = 160 * _MIB
    max_handshake_s: float = 5.0
    max_head_s: float = 60.0
    max_read_s: float = 60.0
    crowded_read_s: float = 2.0
    max_send_s: float = 60.0
    crowded_send_s: float = 5.0
    crowded_idle_s: float = 15.0
    full_connection_s: float = 1.0


def limits_of_vm(memory_mb, max_descriptors, most):
    """Returns the limits of a server whose process has a VM's memory to itself.

    Args:
        memory_mb: Memory of the VM, MB; 0 if unknown.
        max_descriptors: Descriptors of a process; 0 if unknown.
        most: `IntakeLimits` of a large VM.
    """
    connections, budget = most.max_connections, most.budget_bytes
    decoded, buffer = most.max_decoded_bytes, most.socket_buffer_bytes
    if memory_mb:
        memory = memory_mb * _MIB
        connections = min(
            connections, int(memory * _CONNECTIONS_SHARE) // _CONNECTION_BYTES
        )
        budget = min(budget, int(memory * _BUDGET_SHARE))
        decoded = min(decoded, int(memory * _DECODED_SHARE))
        buffer = min(buffer, _VM_SOCKET_BUFFER_BYTES)
    if max_descriptors:
        sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
        connections = min(connections, int(sockets * _DESCRIPTORS_SHARE))
    return replace(
        most,
        max_connections=max(1, connections),
        budget_bytes=budget,
        max_decoded_bytes=decoded,
        socket_buffer_bytes=buffer,
    )


def limits_of_other_listener(memory_mb, max_descriptors, most):
    """Returns the limits of a listener that callers don't connect to.

    Args:
        memory_mb: As for `limits_of_vm`.
        max_descriptors: As for `limits_of_vm`.
        most: `IntakeLimits` of a large VM.
    """
    limits = limits_of_vm(memory_mb, max_descriptors, most)
    connections = other_connections_of_vm(max_descriptors, most.max_connections)
    return replace(limits, max_connections=connections)


def other_connections_of_vm(max_descriptors, most):
    """Returns how many connections a listener has that callers don't connect to.

    Args:
        max_descriptors: Descriptors of a process; 0 if unknown.
        most: Number of a large VM.
    """
    if not max_descriptors:
        return most
    sockets = max(0, max_descriptors - _FILE_DESCRIPTORS)
    connections = int(sockets * _OTHER_DESCRIPTORS_SHARE)
    return max(_MIN_OTHER_CONNECTIONS, min(most, connections))


def decoded_limit(max_body_bytes):
    """Returns the memory that the values of a body may take, bytes.

    Args:
        max_body_bytes: Largest accepted body.
    """
    return _DECODED_FACTOR * max_body_bytes
