"""What operators ask of an entry process."""

import hmac
from collections.abc import Callable
from functools import partial

import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry.http_server import Request, route
from camphorchute.entry.problem import Response, json_response
from camphorchute.entry.status import StatusBoard
from camphorchute.services import Catalogue, Planner
from camphorchute.services.definition import ServiceDefinition

__all__ = ["OperatorPages"]

OPERATOR_HEADER = "X-Operator"
OPERATOR_MAX_CHARS = 64


class PlanBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request for a plan.

    Attributes:
        service: name of the service.
        definition: what it shall be; null removes it.
        undo_revision: former revision to restore instead.
    """

    service: str
    definition: dict | None | msgspec.UnsetType = msgspec.UNSET
    undo_revision: int | None = None


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to drain; exactly one of worker, upstream and entry is given."""

    service: str = ""
    worker: str = ""
    upstream: str = ""
    entry: str = ""


class OperatorPages:
    """Plans, services, status and draining.

    Args:
        token: the operators' token.
        planner: makes and confirms plans.
        catalogue: services in force at this process.
        board: status of all processes.
        drain_self: begins an orderly stop of this process.
        counters: reads the counters of this process.
    """

    def __init__(
        self,
        token: str,
        planner: Planner,
        catalogue: Catalogue,
        board: StatusBoard,
        drain_self: Callable[[], None],
        counters: Callable[[], dict[str, int]],
    ) -> None:
        self._token = token.encode()
        self._planner = planner
        self._catalogue = catalogue
        self._board = board
        self._drain_self = drain_self
        self._counters = counters

    @route("POST", "/v1/plans")
    def plan(self, request: Request) -> Response:
        """Make a plan."""
        operator = self._operator(request)
        body = request.decode(PlanBody)
        if body.undo_revision is not None:
            return json_response(
                self._planner.make_undo_plan(body.service, body.undo_revision, operator)
            )
        if body.definition is msgspec.UNSET:
            raise Refusal(ResultCode.MALFORMED_BODY, "definition is missing")
        return json_response(self._planner.make_plan(body.service, body.definition, operator))

    @route("GET", "/v1/plans/<plan>")
    def show_plan(self, request: Request) -> Response:
        """Show a plan."""
        self._operator(request)
        return json_response(self._planner.get_plan(request.parts["plan"]))

    @route("POST", "/v1/plans/<plan>/confirm")
    def confirm(self, request: Request) -> Response:
        """Confirm a plan."""
        operator = self._operator(request)
        return json_response(self._planner.confirm(request.parts["plan"], operator))

    @route("DELETE", "/v1/plans/<plan>")
    def discard(self, request: Request) -> Response:
        """Discard a plan."""
        self._operator(request)
        self._planner.discard(request.parts["plan"])
        return json_response({"discarded": request.parts["plan"]})

    @route("GET", "/v1/services/<service>")
    def service(self, request: Request) -> Response:
        """Show a service as it is in force here."""
        self._operator(request)
        record = self._catalogue.get_record(request.parts["service"])
        if record is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"no service {request.parts['service']!r}")
        return json_response(record)

    @route("GET", "/v1/services/<service>/history")
    def history(self, request: Request) -> Response:
        """Show the states of a service."""
        self._operator(request)
        return json_response(self._planner.get_history(request.parts["service"]))

    @route("GET", "/v1/status")
    def status(self, request: Request) -> Response:
        """Show the status of every entry process."""
        self._operator(request)
        return json_response(self._board.all())

    @route("GET", "/v1/counters")
    def counters(self, request: Request) -> Response:
        """Show the counters of this process."""
        self._operator(request)
        return json_response(self._counters())

    @route("POST", "/v1/drain")
    def drain(self, request: Request) -> Response:
        """Drain a back end, by a confirmed plan, or this process."""
        operator = self._operator(request)
        body = request.decode(DrainBody)
        if body.entry:
            self._board.check_is_here(body.entry)
            self._drain_self()
            return json_response({"draining": body.entry})
        plan = self._planner.make_change_plan(body.service, partial(_drained, body), operator)
        return json_response(self._planner.confirm(plan.id, operator))

    def _operator(self, request: Request) -> str:
        scheme, _, token = request.header("Authorization").partition(" ")
        matches = hmac.compare_digest(token.encode(), self._token)
        if scheme != "Bearer" or not matches or not self._token:
            raise Refusal(ResultCode.UNAUTHORISED)
        operator = request.header(OPERATOR_HEADER)
        if not 0 < len(operator) <= OPERATOR_MAX_CHARS:
            raise Refusal(ResultCode.UNAUTHORISED, f"header {OPERATOR_HEADER} is missing")
        return operator


def _drained(body: DrainBody, definition: ServiceDefinition) -> ServiceDefinition:
    workers = [_drain(worker, body.worker) for worker in definition.workers]
    upstreams = [_drain(upstream, body.upstream) for upstream in definition.upstreams]
    drained = msgspec.structs.replace(definition, workers=workers, upstreams=upstreams)
    if drained == definition:
        raise Refusal(ResultCode.PLAN_INVALID, f"nothing to drain in {body.service!r}")
    return drained


def _drain(back_end: object, name: str) -> object:
    if back_end.name != name:
        return back_end
    return msgspec.structs.replace(back_end, draining=True)
