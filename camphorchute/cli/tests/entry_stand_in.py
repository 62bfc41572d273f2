"""A stand-in for an entry process: an HTTP server with the endpoints that the commands call.

Plans and histories come from a real `Planner` on a fake store; the other answers are fixed.
"""

import re

import msgspec
from gevent import pywsgi, socket

from camphorchute.contracts import Refusal, ResultCode, code_info
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import StatusIs
from camphorchute.services import Catalogue, Planner
from camphorchute.services.tests.fakes import FakeStore

TOKEN = "0123456789abcdef"
ROUTES = [
    ("POST", r"/v1/plans", "make_plan"),
    ("GET", r"/v1/plans/([^/]+)", "show"),
    ("POST", r"/v1/plans/([^/]+)/confirm", "confirm"),
    ("DELETE", r"/v1/plans/([^/]+)", "discard"),
    ("GET", r"/v1/services/([^/]+)/history", "history"),
    ("GET", r"/v1/services/([^/]+)", "service"),
    ("GET", r"/v1/status", "status"),
    ("POST", r"/v1/drain", "drain"),
    ("POST", r"/v1/jobs", "submit"),
    ("GET", r"/v1/jobs/([^/]+)", "fetch"),
    ("DELETE", r"/v1/jobs/([^/]+)", "cancel"),
]


class EntryStandIn:
    """Serves the requests of commands.

    Attributes:
        drop_next_answer: whether the next request is carried out, but its connection closed
            without an answer.
        headers: WSGI environment of the last request.
    """

    def __init__(self):
        self.store = FakeStore()
        self.planner = Planner(self.store, Catalogue(), ["north"])
        self.drop_next_answer = False
        self.headers = {}
        self.server = pywsgi.WSGIServer(
            ("127.0.0.1", 0), self.handle_request, log=None, error_log=None
        )

    def start(self):
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def close(self):
        self.server.stop(timeout=1)

    def handle_request(self, environ, start_response):
        self.headers = environ
        body = environ["wsgi.input"].read()
        try:
            answer = self.dispatch_request(environ, msgspec.json.decode(body) if body else {})
            status = 200
        except Refusal as refusal:
            answer = {"code": int(refusal.code), "detail": refusal.detail}
            status = code_info(refusal.code).http_status
        if self.drop_next_answer:
            self.drop_next_answer = False
            environ["wsgi.input"].socket.shutdown(socket.SHUT_RDWR)
        start_response(f"{status} X", [("Content-Type", "application/json")])
        return [msgspec.json.encode(answer)]

    def dispatch_request(self, environ, body):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if "/jobs" not in path and environ.get("HTTP_AUTHORIZATION") != f"Bearer {TOKEN}":
            raise Refusal(ResultCode.UNAUTHORISED)
        for route_method, path_pattern, action in ROUTES:
            if method == route_method and (match := re.fullmatch(path_pattern, path)):
                operator = environ.get("HTTP_X_OPERATOR", "")
                return getattr(self, action)(*match.groups(), body=body, operator=operator)
        raise Refusal(ResultCode.NO_SUCH_PAGE, path)

    def make_plan(self, body, operator):
        if "undo_revision" in body:
            return self.planner.make_undo_plan(body["service"], body["undo_revision"], operator)
        return self.planner.make_plan(body["service"], body["definition"], operator)

    def show(self, plan_id, **_):
        return self.planner.get_plan(plan_id)

    def confirm(self, plan_id, operator, **_):
        return self.planner.confirm(plan_id, operator)

    def discard(self, plan_id, **_):
        self.planner.discard(plan_id)
        return {}

    def history(self, name, **_):
        return self.planner.get_history(name)

    def service(self, name, **_):
        entry = self.planner.get_history(name).entries[0]
        return {"name": name, "revision": entry.revision, "definition": entry.definition}

    def status(self, **_):
        member = Member("m1", "north", "vm1", "", "127.0.1.1:7001", "127.0.1.1:8001")
        processes = [StatusIs(member, True, False, 7, 1500.0, 1, 32, ["m1"])]
        return {"processes": processes, "not_asked": ["127.0.1.2:7001"]}

    def drain(self, body, **_):
        return {"draining": body}

    def submit(self, body, **_):
        return {"key": self.headers["HTTP_IDEMPOTENCY_KEY"], "code": 0, "answers": ["a"]}

    def fetch(self, key, **_):
        raise Refusal(ResultCode.TASK_FAILED if key == "failed" else ResultCode.JOB_UNKNOWN)

    def cancel(self, key, **_):
        return {"key": key, "code": int(ResultCode.CANCELLED)}
