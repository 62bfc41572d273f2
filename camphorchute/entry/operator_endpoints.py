"""HTTP endpoints for operators: plans, services, status, counters and draining."""

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

__all__ = ["OperatorEndpoints"]

OPERATOR_HEADER = "X-Operator"
OPERATOR_MAX_CHARS = 64


class PlanBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request for a plan.

    Attributes:
        service: name of the service.
        definition: the new definition; null removes the service.
        undo_revision: earlier revision to restore instead.
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


class OperatorEndpoints:
    """Endpoints of plans, services, status, counters and draining.

    Args:
        token: the operators' bearer token; empty refuses every request.
        planner: creates and confirms plans.
        catalogue: the services in force at this process.
        status_board: collects the status of all processes.
        drain_self: starts a graceful shutdown of this process.
        counters: returns the counters of this process.
    """

    def __init__(
        self,
        token: str,
        planner: Planner,
        catalogue: Catalogue,
        status_board: StatusBoard,
        drain_self: Callable[[], None],
        counters: Callable[[], dict[str, int]],
    ) -> None:
        self._token = token.encode()
        self._planner = planner
        self._catalogue = catalogue
        self._status_board = status_board
        self._drain_self = drain_self
        self._counters = counters

    @route("POST", "/v1/plans")
    def create_plan(self, request: Request) -> Response:
        """Create a plan that changes, removes or restores a service."""
        operator = self._authenticate_operator(request)
        body = request.decode(PlanBody)
        if body.undo_revision is not None:
            return json_response(
                self._planner.make_undo_plan(body.service, body.undo_revision, operator)
            )
        if body.definition is msgspec.UNSET:
            raise Refusal(ResultCode.MALFORMED_BODY, "definition is missing")
        return json_response(self._planner.make_plan(body.service, body.definition, operator))

    @route("GET", "/v1/plans/<plan>")
    def get_plan(self, request: Request) -> Response:
        """Return a plan."""
        self._authenticate_operator(request)
        return json_response(self._planner.get_plan(request.path_parameters["plan"]))

    @route("POST", "/v1/plans/<plan>/confirm")
    def confirm_plan(self, request: Request) -> Response:
        """Confirm a plan."""
        operator = self._authenticate_operator(request)
        return json_response(self._planner.confirm(request.path_parameters["plan"], operator))

    @route("DELETE", "/v1/plans/<plan>")
    def discard_plan(self, request: Request) -> Response:
        """Discard a plan."""
        self._authenticate_operator(request)
        self._planner.discard(request.path_parameters["plan"])
        return json_response({"discarded": request.path_parameters["plan"]})

    @route("GET", "/v1/services/<service>")
    def get_service(self, request: Request) -> Response:
        """Return the record of a service that is in force at this process."""
        self._authenticate_operator(request)
        record = self._catalogue.get_record(request.path_parameters["service"])
        if record is None:
            raise Refusal(
                ResultCode.UNKNOWN_SERVICE, f"no service {request.path_parameters['service']!r}"
            )
        return json_response(record)

    @route("GET", "/v1/services/<service>/history")
    def get_history(self, request: Request) -> Response:
        """Return the history of a service."""
        self._authenticate_operator(request)
        return json_response(self._planner.get_history(request.path_parameters["service"]))

    @route("GET", "/v1/status")
    def get_status(self, request: Request) -> Response:
        """Return the status of every entry process."""
        self._authenticate_operator(request)
        return json_response(self._status_board.query_all())

    @route("GET", "/v1/counters")
    def get_counters(self, request: Request) -> Response:
        """Return the counters of this process."""
        self._authenticate_operator(request)
        return json_response(self._counters())

    @route("POST", "/v1/drain")
    def drain(self, request: Request) -> Response:
        """Drain this process, or a back end by a plan that is confirmed immediately."""
        operator = self._authenticate_operator(request)
        body = request.decode(DrainBody)
        if body.entry:
            self._status_board.check_names_this_process(body.entry)
            self._drain_self()
            return json_response({"draining": body.entry})
        plan = self._planner.make_change_plan(
            body.service, partial(_drain_back_ends, body), operator
        )
        return json_response(self._planner.confirm(plan.id, operator))

    def _authenticate_operator(self, request: Request) -> str:
        scheme, _, token = request.header("Authorization").partition(" ")
        matches = hmac.compare_digest(token.encode(), self._token)
        if scheme != "Bearer" or not matches or not self._token:
            raise Refusal(ResultCode.UNAUTHORISED)
        operator = request.header(OPERATOR_HEADER)
        if not 0 < len(operator) <= OPERATOR_MAX_CHARS:
            raise Refusal(ResultCode.UNAUTHORISED, f"header {OPERATOR_HEADER} is missing")
        return operator


def _drain_back_ends(body: DrainBody, definition: ServiceDefinition) -> ServiceDefinition:
    workers = [_set_draining(worker, body.worker) for worker in definition.workers]
    upstreams = [_set_draining(upstream, body.upstream) for upstream in definition.upstreams]
    drained = msgspec.structs.replace(definition, workers=workers, upstreams=upstreams)
    if drained == definition:
        raise Refusal(ResultCode.PLAN_INVALID, f"nothing to drain in {body.service!r}")
    return drained


def _set_draining(back_end: object, name: str) -> object:
    if back_end.name != name:
        return back_end
    return msgspec.structs.replace(back_end, draining=True)
