"""
tests.test_fair_queue
~~~~~~~~~~~~~~~~~~~~~

Order, tenant shares and totals of the fair queue.
"""

import random

from testtools import TestCase

from papayaward.coordination.fair_queue import FairQueue, QueuedJob

__all__ = []


def _job(tenant, tasks=1, priority=10, deadline=100.0, work_us=1000):
    return QueuedJob(tenant, tenant, priority, deadline, work_us, (7,) * tasks)


def _queue(shares=None, **tasks):
    queue = FairQueue()
    if shares is not None:
        queue.set_shares(lambda name: shares.get(name, (0.0, 1.0)))
    for tenant, number in tasks.items():
        queue.add(_job(tenant, number), range(number))
    return queue


def _pop_tenants(queue, number):
    return [queue.pop()[0].account for _ in range(number)]


class OrderTest(TestCase):
    def test_flood_of_one_tenant_does_not_delay_another(self):
        """Guards against serving tenants in order of arrival."""
        queue = _queue(flood=1000, small=3)
        self.assertEqual(3, _pop_tenants(queue, 6).count("small"))

    def test_slots_in_use_follow_the_weights(self):
        """Guards against shares that ignore the weights."""
        queue = _queue({"a": (0.0, 3.0)}, a=100, b=100)
        self.assertEqual(30, _pop_tenants(queue, 40).count("a"))

    def test_quota_goes_before_weight(self):
        """Guards against a quota that is reduced by other tenants' weights."""
        queue = _queue({"a": (5.0, 1.0), "b": (0.0, 50.0)}, a=10, b=100)
        self.assertEqual(["a"] * 5, _pop_tenants(queue, 5))
        self.assertEqual(["b"] * 10, _pop_tenants(queue, 10))

    def test_borrowed_slots_return_with_each_free_slot(self):
        """Guards against a tenant that keeps the slots it took while alone."""
        queue = _queue({"a": (4.0, 1.0)}, b=100)
        _pop_tenants(queue, 8)
        queue.add(_job("a", 10), range(10))
        for _ in range(4):
            queue.release_slot("b")
        self.assertEqual(["a"] * 4, _pop_tenants(queue, 4))

    def test_order_within_a_tenant(self):
        """Guards against jobs that are served before more urgent ones."""
        queue = FairQueue()
        jobs = [
            _job("a", priority=10, deadline=9.0),
            _job("a", priority=10, deadline=5.0),
            _job("a", priority=1, deadline=99.0),
            _job("a", priority=10, deadline=5.0),
        ]
        for job in jobs:
            queue.add(job, [0])
        popped = [jobs.index(queue.pop()[0]) for _ in jobs]
        self.assertEqual([2, 1, 3, 0], popped)

    def test_rejected_task_keeps_its_position(self):
        """Guards against a rejected task that is put at the end of the queue."""
        queue = _queue(a=3)
        job, index = queue.pop()
        queue.add(_job("a", deadline=101.0), [0])
        queue.release_slot("a")
        queue.requeue(job, index)
        self.assertEqual((job, 0), queue.pop())


class SumsTest(TestCase):
    def test_sums_are_exact_after_any_sequence(self):
        """Guards against totals that drift, so that jobs are refused permanently."""
        for seed in range(5):
            self._check_sums(seed)

    def _check_sums(self, seed):
        rng = random.Random(seed)
        queue, jobs, granted = FairQueue(), [], []
        for _ in range(1500):
            step = rng.random()
            if step < 0.3:
                sizes = [rng.randrange(100) for _ in range(rng.randrange(1, 9))]
                job = QueuedJob(
                    None,
                    rng.choice("abc"),
                    rng.randrange(2),
                    rng.random() * 9,
                    rng.randrange(1000),
                    sizes,
                )
                queue.add(job, range(len(sizes)))
                jobs.append(job)
            elif step < 0.8 and queue:
                granted.append(queue.pop())
            elif step < 0.9 and granted:
                job, index = granted.pop(rng.randrange(len(granted)))
                queue.release_slot(job.account)
                # Tasks of a finished job are not requeued.
                if job in jobs and rng.random() < 0.5:
                    queue.requeue(job, index)
            elif jobs:
                queue.remove(jobs.pop(rng.randrange(len(jobs))))
            waiting = [(j, i) for j in jobs for i in j.pending]
            self.assertEqual(len(waiting), len(queue), f"seed {seed}")
            self.assertEqual(sum(j.sizes[i] for j, i in waiting), queue.bytes)
            self.assertEqual(sum(j.work_us for j, _ in waiting), queue.work_us)
        while queue:
            granted.append(queue.pop())
        for job, _ in granted:
            queue.release_slot(job.account)
        self.assertEqual((0, 0, 0), (len(queue), queue.bytes, queue.work_us))
        self.assertEqual([], queue.demands())

    def test_removed_jobs_leave_no_entries(self):
        """Guards against cancelled jobs that stay in memory."""
        queue = FairQueue()
        jobs = [_job("a") for _ in range(10_000)]
        for job in jobs:
            queue.add(job, [0])
        for job in jobs[1:]:
            queue.remove(job)
        self.assertEqual(1, len(queue))
        self.assertTrue(len(queue._accounts["a"].jobs) < 100)
        self.assertTrue(len(queue._account_heap) < 200)
