"""
tests.test_config_text
~~~~~~~~~~~~~~~~~~~~~~

The check of configuration texts: findings, their positions, and its speed.
"""

import copy
import json
import random
import time

from testtools import TestCase

from papayaward.protocol.config_text import ConfigError, Finding, parse_config

__all__ = []

_SEED = 20261204
_RANDOM_TEXTS = 3000


def findings_of(text):
    """Returns the findings in a text as (place, line, column, found, allowed)."""
    try:
        parse_config(text)
    except ConfigError as error:
        return [(f.place, f.line, f.column, f.found, f.allowed) for f in error.findings]
    return []


def places_of(**document):
    """Returns the places of the findings in a document."""
    return [finding[0] for finding in findings_of(json.dumps(document))]


def large_document(services=300, tenants=68):
    """Returns a valid document near the target size."""
    return {
        "services": [
            {"name": f"s{n}", "depends_on": [f"s{n + 1}"] if n + 1 < services else []}
            for n in range(services)
        ],
        "tenants": [{"name": f"t{n}", "quota": 0.01} for n in range(tenants)],
        "domains": [f"d{n}" for n in range(9)],
        "domains_out": ["d3"],
    }


class FindingsTest(TestCase):
    def test_every_finding_is_reported_with_its_place(self):
        """Guards against a check that stops early or reports a wrong position."""
        text = """{
  "services": [
    {"name": "a", "depends_on": ["b", "x"]},
    {"name": "b", "depends_on": ["a"], "cells": "2"},
    {"name": "a", "colour": 1}
  ],
  "tenants": [{"name": "t", "quota": 0.7}, {"name": "u", "quota": 50},
              {"name": "v", "quota": 0.4}],
  "classes": [{"name": "c", "deadline_ms": "30s"}],
  "domains": ["d"], "domains_out": ["e"], "domains": ["d"]
}"""
        names = "a name of 1 to 64 printable characters without blanks"
        self.assertEqual(
            [
                (
                    "services[0].depends_on[1]",
                    *(3, 39, '"x"', "the name of a service in this text"),
                ),
                (
                    "services[1].depends_on[0]",
                    *(4, 34, "the cycle a -> b -> a", "dependencies without a cycle"),
                ),
                (
                    "services[1].cells",
                    *(4, 49, '"2"', "an integer from 1 to 1000 (groups of runners)"),
                ),
                ("services[2].name", 5, 14, '"a"', "each name once"),
                (
                    "services[2].colour",
                    *(5, 19, 'the unknown key "colour"'),
                    "one of the keys name, depends_on, cells",
                ),
                (
                    "tenants[1].quota",
                    *(7, 67, "50"),
                    "a number from 0.0 to 1.0 (share of a service's slots)",
                ),
                (
                    "tenants[2].quota",
                    *(8, 38, "quotas of all tenants that add up to 1.1"),
                    "a sum of at most 1",
                ),
                (
                    "classes[0].deadline_ms",
                    *(9, 44, '"30s"', "an integer from 1 to 3600000 (milliseconds)"),
                ),
                ("domains_out[0]", 10, 37, '"e"', "a name listed in domains"),
                ("domains", 10, 43, 'the key "domains" again', "each key once"),
            ],
            findings_of(text),
        )
        self.assertEqual(
            [("services[0].name", 1, 15, "nothing", names)],
            findings_of('{"services": [{}]}'),
        )

    def test_text_without_services_is_a_finding(self):
        """Guards against a text without services, under which no job can run."""
        for text in ("", " \n", "{}", '{"services": []}', "[]", "null", b"\xff"):
            self.assertEqual(1, len(findings_of(text)), text)
        self.assertEqual([("$", 2, 2)], [f[:3] for f in findings_of("{\n x")])

    def test_wrong_values_of_each_section(self):
        """Guards against values that crash or stall the processes that use them."""
        one = [{"name": "s"}]
        for expected, document in (
            ("services[0]", {"services": [1]}),
            ("services[0].name", {"services": [{"name": ""}]}),
            ("services[0].name", {"services": [{"name": "a\nb"}]}),
            ("services[0].name", {"services": [{"name": "\ud800"}]}),
            ("services[0].depends_on", {"services": [{**one[0], "depends_on": "s"}]}),
            (
                "services[0].depends_on[0]",
                {"services": [{**one[0], "depends_on": ["s"]}]},
            ),
            ("services[0].cells", {"services": [{**one[0], "cells": True}]}),
            ("services[0].cells", {"services": [{**one[0], "cells": 10**99}]}),
            ("tenants", {"services": one, "tenants": {}}),
            (
                "tenants[0].weight",
                {"services": one, "tenants": [{"name": "t", "weight": 0}]},
            ),
            (
                "tenants[0].quota",
                {"services": one, "tenants": [{"name": "t", "quota": float("nan")}]},
            ),
            ("limits", {"services": one, "limits": 1}),
            ("limits.max_tasks", {"services": one, "limits": {"max_tasks": 0}}),
            ("domains[1]", {"services": one, "domains": ["d", "d"]}),
            # Jobs of this class would all be refused: their default deadline
            # exceeds the maximum deadline.
            (
                "classes[0].deadline_ms",
                {
                    "services": one,
                    "classes": [{"name": "c"}],
                    "limits": {"max_deadline_ms": 1000},
                },
            ),
        ):
            self.assertEqual([expected], places_of(**document), document)

    def test_long_chains_and_deep_nesting_are_checked(self):
        """Guards against a recursion error or a long stall in the checker."""
        self.assertEqual([], findings_of(json.dumps(large_document(services=1000))))
        chain = large_document(services=1000)
        chain["services"][-1]["depends_on"] = ["s0"]
        [(place, *_, found, _)] = findings_of(json.dumps(chain))
        self.assertEqual("services[999].depends_on[0]", place)
        self.assertIn("s0 -> s1", found)
        for text in ("[" * 200_000, '{"a":' * 900 + "1" + "}" * 900, "9" * 10_000):
            start = time.process_time()
            self.assertNotEqual([], findings_of(text))
            self.assertLess(time.process_time() - start, 1.0)

    def test_running_processes_can_ignore_unknown_keys(self):
        """Guards against older processes that refuse a version with new keys."""
        text = '{"services": [{"name": "s", "new": 1}], "newer": {}}'
        self.assertEqual(2, len(findings_of(text)))
        self.assertEqual(["s"], list(parse_config(text, allow_unknown=True).services))


class RandomTextTest(TestCase):
    def test_no_text_raises_anything_but_config_error(self):
        """Guards against an input that crashes the checker in every process."""
        rng = random.Random(_SEED)
        base = json.dumps(large_document(services=4, tenants=3), indent=1)
        values = [None, 1, -1, 1.5, "", "s1", [], ["s1"], {}, [None], {"name": 1}, True]
        pieces = [
            "{",
            "}",
            "[",
            "]",
            ",",
            '"',
            "\\",
            ":",
            "NaN",
            "1e999",
            "\u2028",
            "\n",
        ]
        for _ in range(_RANDOM_TEXTS):
            document = json.loads(base)
            for _ in range(rng.randint(0, 3)):
                _mutate(document, rng, values)
            text = json.dumps(document)
            for _ in range(rng.choice((0, 0, 1, 4))):
                at = rng.randrange(len(text) + 1)
                text = text[:at] + rng.choice(pieces) + text[at + rng.randint(0, 3) :]
            given = text.encode() if rng.random() < 0.5 else text
            try:
                parse_config(given)
            except ConfigError as error:
                self._check_findings(text, error)

    def _check_findings(self, text, error):
        lines = text.split("\n")
        for finding in error.findings:
            self.assertIsInstance(finding, Finding)
            self.assertLessEqual(finding.line, len(lines), text)
            width = len(lines[finding.line - 1])
            self.assertLessEqual(finding.column, width + 1, (text, finding))


def _mutate(document, rng, values):
    """Replaces, adds or removes one value at a random depth."""
    while True:
        key = rng.choice(
            list(document) if isinstance(document, dict) else range(len(document))
        )
        child = document[key]
        if not isinstance(child, (dict, list)) or not child or rng.random() < 0.3:
            break
        document = child
    if rng.random() < 0.2 and isinstance(document, dict):
        document[rng.choice(("name", "extra", "a.b"))] = copy.deepcopy(
            rng.choice(values)
        )
    elif rng.random() < 0.2:
        del document[key]
    else:
        document[key] = copy.deepcopy(rng.choice(values))


class SpeedTest(TestCase):
    def test_check_fits_the_budget_of_every_process(self):
        """Guards against a check that uses up a runner's processor time budget."""
        text = json.dumps(large_document(services=1000))
        times = []
        for _ in range(5):
            start = time.process_time()
            parse_config(text)
            times.append(time.process_time() - start)
        # 2,300 versions per day may use a tenth of the budget of 1.4 % of a core.
        self.assertLess(min(times), 0.1 * 0.014 * 86400 / 2300)
