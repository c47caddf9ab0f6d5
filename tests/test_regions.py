"""
tests.test_regions
~~~~~~~~~~~~~~~~~~

Regions partitioned from each other and from the store.
"""

import time

import gevent

from .fleet_case import FleetCase, echo_tasks, small_config

__all__ = []

_RUNNERS = [
    {"domain": "a", "region": "north"},
    {"domain": "b", "region": "north"},
    {"domain": "c", "region": "south"},
]


class RegionTest(FleetCase):
    def _start(self):
        fleet = self.start_fleet(
            small_config(), 2, _RUNNERS, proxied=True, store_proxies=True
        )
        self.assertEqual(200, fleet.submit(echo_tasks(24, 10)).status)
        return fleet

    def _links(self, fleet):
        """Returns the proxies between the two regions; e2 and r3 are in the south."""
        names = ["r1>e2", "r2>e2", "r3>e1", ">r3"]
        return [fleet.proxies[name] for name in names]

    def _set_cut(self, fleet, cut, store_of=("e2",)):
        proxies = self._links(fleet)
        proxies += [fleet.proxies[f"{entry}>store"] for entry in store_of]
        for proxy in proxies:
            proxy.refuse = cut
            if cut:
                proxy.silence_open()

    def test_minority_without_the_store(self):
        """Guards against starts in a region that may have missed a change."""
        fleet = self._start()
        self._set_cut(fleet, True)
        cut = time.time()
        gevent.sleep(2.5)
        # The north takes the south's domain out; the south cannot learn of it.
        status, reply = fleet.set_domains_out(["c"])
        self.assertTrue(status == 200 and reply["accepted"], reply)
        refused = fleet.submit(echo_tasks(2, 10), index=1, timeout_s=20)
        self.assertEqual("not_run", refused.json["outcome"], refused.body)
        tasks = echo_tasks(24, 50)
        self.assert_complete(fleet.submit(tasks), tasks)
        late = [r["start"] - cut for r in fleet.records("r3")]
        self.assertEqual([], [start for start in late if start > 3.0])
        self._set_cut(fleet, False)
        fleet.wait_until(lambda: fleet.version(1) == fleet.version(0))
        fleet.wait_ready(2)
        status, reply = fleet.set_domains_out([])
        self.assertEqual(200, status, reply)
        fleet.wait_ready(3)
        tasks = echo_tasks(48, 100, "after")
        self.assert_complete(fleet.submit(tasks, index=1), tasks)
        self.assertEqual("c", fleet.records("r3")[-1]["domain"])
        self.assert_no_second_start(fleet)

    def test_store_in_the_minority(self):
        """Guards against two regions that work with different versions.

        The south has the store, the north has the majority. Both continue to work,
        but no change is accepted, as the store cannot deliver it to a majority.
        """
        fleet = self._start()
        self._set_cut(fleet, True, store_of=("e1",))
        gevent.sleep(2.5)
        for index in (0, 1):
            tasks = echo_tasks(8, 50, index)
            reply = fleet.submit(tasks, index=index, timeout_s=10)
            self.assert_complete(reply, tasks)
        config = {**fleet.config, "domains_out": ["a"]}
        status, reply = fleet.apply(config, fleet.version(1), 1, wait_ms=1500)
        self.assertEqual(200, status, reply)
        self.assertFalse(reply["accepted"], reply)
        self._set_cut(fleet, False, store_of=("e1",))
        fleet.wait_until(lambda: fleet.version(0) == fleet.version(1) == 2)
        self.assert_no_second_start(fleet)

    def test_no_majority_and_no_store(self):
        """Guards against starts when no region can learn of a configuration change."""
        fleet = self._start()
        self._set_cut(fleet, True, store_of=("e1", "e2"))
        fleet.kill("r2")
        gevent.sleep(3.0)
        before = len(fleet.records())
        for index in (0, 1):
            reply = fleet.submit(echo_tasks(2, 10), index=index, timeout_s=20)
            self.assertEqual("not_run", reply.json["outcome"], reply.body)
        self.assertEqual(before, len(fleet.records()))
        self._set_cut(fleet, False, store_of=("e1", "e2"))
        fleet.start_runner("r2")
        fleet.wait_ready(3)
        tasks = echo_tasks(24, 20, "after")
        self.assert_complete(fleet.submit(tasks, index=1), tasks)
