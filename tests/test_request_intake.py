"""
tests.test_request_intake
~~~~~~~~~~~~~~~~~~~~~~~~~

What clients can make a server read and keep, without a network.
"""

import io
import itertools
import json
import socket
from unittest.mock import Mock

from gevent.pywsgi import Input
from testtools import TestCase

from papayaward import clock
from papayaward.transport.connection_reader import BudgetExhausted, HeadTooLarge
from papayaward.transport.intake_limits import (
    IntakeLimits,
    decoded_limit,
    limits_of_vm,
)
from papayaward.transport.json_size import exceeds_decoded_size
from papayaward.transport.request_body import BodyError, BodyFault, read_body
from papayaward.transport.request_intake import CloseReason, RequestIntake

__all__ = []

_MIB = 1024 * 1024
_LIMITS = IntakeLimits(
    max_connections=4,
    max_head_bytes=100,
    small_bytes=200,
    budget_bytes=1000,
    max_head_s=3.0,
    max_read_s=60.0,
    crowded_read_s=2.0,
    max_send_s=60.0,
    crowded_send_s=5.0,
    crowded_idle_s=15.0,
)


class _Socket:
    def __init__(self, on_send=lambda: None):
        self._on_send = on_send
        self.closed_sides = []

    def recv_into(self, buffer):
        buffer[:] = b"x" * len(buffer)
        return len(buffer)

    def sendall(self, data):
        self._on_send()

    def shutdown(self, side):
        self.closed_sides.append(side)


class _EndlessSocket:
    """Sends the start of a body and then one block without end."""

    def __init__(self, start, block):
        self._data = itertools.chain(start, itertools.cycle(block))
        self.sent_bytes = 0

    def recv_into(self, buffer):
        data = bytes(itertools.islice(self._data, len(buffer)))
        buffer[:] = data
        self.sent_bytes += len(data)
        if self.sent_bytes > 4 * _MIB:
            raise AssertionError("the body is read without end")
        return len(data)


class RequestIntakeTest(TestCase):
    def connect(self, intake, at=0.0):
        return intake.connect(_Socket(), at)

    def overdue(self, intake, now):
        return list(intake.overdue(now))

    def test_head_without_end_is_not_read_on(self):
        """Guards against memory for each header line of an endless head."""
        reader = self.connect(RequestIntake(_LIMITS))
        reader.readinto(bytearray(101))
        self.assertRaises(HeadTooLarge, reader.readinto, bytearray(1))

    def test_large_requests_share_a_budget(self):
        """Guards against memory that grows with the number of clients."""
        intake = RequestIntake(_LIMITS)
        first, second = self.connect(intake), self.connect(intake)
        for reader in (first, second):
            reader.end_head()
        first.readinto(bytearray(1200))
        self.assertEqual(1000, intake.reserved_bytes)
        self.assertRaises(BudgetExhausted, second.readinto, bytearray(201))
        second.begin_request(1.0)
        second.end_head()
        self.assertEqual(200, second.readinto(bytearray(200)))
        first.begin_request(2.0)
        self.assertEqual(0, intake.reserved_bytes)

    def test_closed_connection_returns_its_reservation(self):
        """Guards against a budget that runs dry by clients that leave."""
        intake = RequestIntake(_LIMITS)
        reader = self.connect(intake)
        reader.end_head()
        reader.readinto(bytearray(700))
        reader.close()
        self.assertEqual((0, 0), (intake.reserved_bytes, intake.connections))

    def test_unfinished_requests_are_closed_sooner_while_crowded(self):
        """Guards against connections that unfinished requests occupy for good."""
        intake = RequestIntake(_LIMITS)
        reader = self.connect(intake)
        reader.readinto(bytearray(1))
        began_at = reader.since
        self.assertEqual([], self.overdue(intake, began_at + 2.9))
        self.assertEqual([reader], self.overdue(intake, began_at + 3.1))
        reader.end_head()
        self.assertEqual([], self.overdue(intake, began_at + 59.0))
        self.assertEqual([reader], self.overdue(intake, began_at + 61.0))
        others = [self.connect(intake, began_at) for _ in range(2)]
        self.assertEqual([reader], self.overdue(intake, began_at + 2.1))
        reader.complete_request()
        self.assertEqual([], self.overdue(intake, began_at + 14.0))
        self.assertEqual(others, self.overdue(intake, began_at + 16.0))

    def test_responses_that_nobody_reads_are_given_up(self):
        """Guards against connections that wait for good for room for a response."""
        intake = RequestIntake(_LIMITS)
        closed = []

        def check():
            began_at = reader.sending_since
            closed.append(intake.overdue(began_at + 59.0))
            closed.append(intake.overdue(began_at + 61.0))
            others = [self.connect(intake, began_at) for _ in range(2)]
            closed.append(intake.overdue(began_at + 4.9))
            closed.append(intake.overdue(began_at + 5.1))
            reader.abort()
            for other in others:
                other.close()

        sock = _Socket(check)
        reader = intake.connect(sock, 0.0)
        reader.send(b"x")
        late = {reader: CloseReason.UNREAD_RESPONSE}
        self.assertEqual([{}, late, {}, late], closed)
        self.assertEqual([socket.SHUT_RDWR], sock.closed_sides)
        self.assertEqual({}, intake.overdue(clock.now() + 61.0))

    def test_request_that_arrived_with_the_last_one_is_none_between_two(self):
        """Guards against a pipelined job that is given up, or held open, unseen."""
        intake = RequestIntake(_LIMITS)
        reader, *others = [self.connect(intake) for _ in range(4)]
        for other in others:
            other.on_first_bytes(0.0)
            other.complete_request()
        reader.begin_request(0.0)
        self.assertEqual({reader: CloseReason.IDLE}, intake.overdue(1.1))
        reader.on_first_bytes(10.0)
        self.assertEqual({}, intake.overdue(11.9))
        self.assertEqual({reader: CloseReason.UNFINISHED}, intake.overdue(12.1))
        reader.end_head()
        reader.complete_request()
        self.assertEqual({}, intake.overdue(1000.0))

    def test_full_server_passes_connections_on(self):
        """Guards against callers who wait while idle or endless clients have it all."""
        intake = RequestIntake(_LIMITS)
        readers = [self.connect(intake) for _ in range(3)]
        self.assertFalse(intake.passes_on(readers[0], 100.0))
        self.assertEqual({}, intake.overdue(14.0))
        readers.append(self.connect(intake, 10.0))
        self.assertFalse(intake.passes_on(readers[0], 0.9))
        self.assertTrue(intake.passes_on(readers[0], 1.1))
        self.assertEqual(readers[:3], self.overdue(intake, 10.9))
        self.assertEqual(readers, self.overdue(intake, 11.1))
        readers[3].close()
        self.assertFalse(intake.passes_on(readers[0], 100.0))

    def test_smallest_vm_has_memory_for_all_connections(self):
        """Guards against limits that together exceed the memory of a VM."""
        most = IntakeLimits(max_connections=3000)
        for memory_mb in (96, 160, 200, 552):
            limits = limits_of_vm(memory_mb, 8192, most)
            kept = limits.max_connections * 64 * 1024 + limits.budget_bytes
            self.assertLessEqual(kept, 0.63 * memory_mb * 1024 * 1024)
            self.assertGreaterEqual(limits.budget_bytes, 4 * 1024 * 1024)
        for memory_mb in (160, 200, 300, 552):
            limits = limits_of_vm(memory_mb, 8192, most)
            # The kernel keeps up to twice the buffer of each direction.
            connection = 48 * 1024 + 4 * limits.socket_buffer_bytes
            kept = limits.max_connections * connection + limits.budget_bytes
            kept += limits.max_decoded_bytes
            # A process takes 34 MB at rest.
            self.assertLess(kept + 34 * _MIB, memory_mb * _MIB)
        self.assertEqual(60, limits_of_vm(96, 280, most).max_connections)
        self.assertEqual(most, limits_of_vm(0, 0, most))


class ReadBodyTest(TestCase):
    def read(self, stream, length="", request_bytes=0):
        environ = {
            "wsgi.input": stream,
            "CONTENT_LENGTH": length,
            "papayaward.reader": Mock(
                request_bytes=request_bytes, max_decoded_bytes=20_000
            ),
        }
        return read_body(environ, 1000)

    def fault(self, *args):
        return self.assertRaises(BodyError, self.read, *args).fault

    def test_announced_body_over_the_limit_is_not_read(self):
        """Guards against reading what is thrown away."""
        stream = Mock()
        for length in ("1001", "100000000000", "-1", "x"):
            self.assertEqual(BodyFault.TOO_LONG, self.fault(stream, length))
        stream.read.assert_not_called()

    def test_chunks_over_the_limit_or_mostly_framing_are_not_read_on(self):
        """Guards against bodies without end, and small chunks that keep it busy."""
        self.assertEqual(1000, len(self.read(io.BytesIO(b"x" * 1000))))
        self.assertEqual(BodyFault.TOO_LONG, self.fault(io.BytesIO(b"x" * 1001)))
        for start, block in (
            (b"", b"1\r\nx\r\n"),
            (b"2\r\n{}\r\n0\r\n", b"X-T: x\r\n"),
        ):
            self.assertEqual(BodyFault.TOO_LONG, self.fault_of_endless(start, block))

    def fault_of_endless(self, start, block):
        limits = IntakeLimits(budget_bytes=10 * _MIB)
        sock = _EndlessSocket(start, block)
        reader = RequestIntake(limits).connect(sock, 0.0)
        reader.end_head()
        stream = Input(io.BufferedReader(reader), None, chunked_input=True)
        environ = {"wsgi.input": stream, "papayaward.reader": reader}
        error = self.assertRaises(BodyError, read_body, environ, 100_000)
        self.assertLess(sock.sent_bytes, 400_000)
        return error.fault

    def test_body_of_many_values_is_refused_before_it_is_decoded(self):
        """Guards against memory of many times the bytes of a body within its limit."""
        for text in (b"[" + b"{}," * 330 + b"1]", b"[]," * 333, b'{"a":1},' * 120):
            self.assertEqual(BodyFault.TOO_COMPLEX, self.fault(io.BytesIO(text)))
        text = b'{"a":"' + b'[{:,\\"' * 120 + b'"}'
        self.assertEqual(text, self.read(io.BytesIO(text)))

    def test_largest_jobs_are_decoded(self):
        """Guards against a refusal of jobs within the limits of the platform."""
        phase = {"count": 1, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 900}
        phase |= {"after": [9999], "max_per_server": 1, "same_rack": True}
        names = {"phases": [phase] * 10_000, "best_effort": True, "spec": "[" * 65_536}
        numbers = {"phases": [{"after": list(range(200)) * 1500}]}
        for job in (names, numbers):
            text = json.dumps(job, separators=(",", ":")).encode()
            self.assertFalse(exceeds_decoded_size(text, decoded_limit(_MIB)))
            self.assertFalse(exceeds_decoded_size(text, _MIB * 160 // 8))

    def test_fault_tells_whether_the_client_may_come_back(self):
        """Guards against a refusal that blames the request for the load."""
        for error, fault in (
            (BudgetExhausted("full"), BodyFault.BUSY),
            (OSError("closed"), BodyFault.INCOMPLETE),
        ):
            stream = Mock(**{"read.side_effect": error})
            self.assertEqual(fault, self.fault(stream, "10"))
