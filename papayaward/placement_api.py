"""
papayaward.placement_api
~~~~~~~~~~~~~~~~~~~~~~~~

Operators' question where a job would go now, answered without submitting it.
"""

from dataclasses import asdict

from . import clock
from .protocol.options import OptionError, get_object, get_string, read_object
from .transport.http_api import json_response

__all__ = ["PlacementApi"]


class PlacementApi:
    """Answers the question at an entry for leased tasks.

    Args:
        entry: `LeasedEntry`.
        read_job: Function that takes an identifier, a job's JSON document and a `Queue`
            and returns the `LeasedJobRequest`; raises `OptionError`.
    """

    def __init__(self, entry, read_job):
        self._entry = entry
        self._read_job = read_job

    def explain(self, request):
        """Handles `POST /placement` with `host`, `path` and `job`."""
        try:
            document = read_object(request.body or b"")
            host = get_string(document, "host")
            path = get_string(document, "path", max_length=4096)
            queue = self._entry.config.config.find(host, path)
            if queue is None:
                return json_response(404, {"detail": "no such queue"})
            job_id = path[len(queue.prefix) :]
            job = self._read_job(job_id, get_object(document, "job"), queue)
        except OptionError as error:
            return json_response(400, {"detail": str(error)})
        report = self._entry.scheduler.reports.report(job, queue, clock.now())
        return json_response(200, {"queue": queue.name, **asdict(report)})
