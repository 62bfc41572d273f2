"""Scheduling of tasks on workers and upstreams, and the clients for their protocols."""

from camphorchute.workers.back_end import BackEnd, back_end_class, register_back_end
from camphorchute.workers.home import Home
from camphorchute.workers.http_upstream import HttpUpstream
from camphorchute.workers.http_worker import HttpWorker
from camphorchute.workers.timing import HomeTiming

__all__ = [
    "BackEnd",
    "Home",
    "HomeTiming",
    "HttpUpstream",
    "HttpWorker",
    "back_end_class",
    "register_back_end",
]
