"""Stand-in operators that drain back ends, change services concurrently and read the status."""

import random
from http.client import HTTPException

import gevent
import msgspec

from bench.fleet import TOKEN, Entry, call
from bench.soak.records import Drain, ObservedRevision
from bench.soak.soak_fleet import SERVICE, SIDE_SERVICE, SoakFleet, now_unix_ms
from camphorchute.contracts import ResultCode
from camphorchute.services.definition import ServiceDefinition

__all__ = ["ConfirmedChange", "Operators"]

CALL_TIMEOUT_S = 6.0
CONFIRM_TRIES = 8
PLAN_TRIES = 4
RETRY_PAUSE_S = 0.4
STATUS_INTERVAL_S = 0.4
UNCLEAR_CODES = (ResultCode.STORE_UNAVAILABLE, ResultCode.CONFIRM_UNKNOWN)


class ConfirmedChange:
    """A configuration change whose confirmation an operator received.

    Attributes:
        service: name of the service.
        base_revision: revision on which its plan is based.
        revision: revision that the change created.
        definition: the service definition that it put in force.
    """

    __slots__ = ("service", "base_revision", "revision", "definition")

    def __init__(self, service: str, base_revision: int, revision: int, definition: dict) -> None:
        self.service = service
        self.base_revision = base_revision
        self.revision = revision
        self.definition = definition


class Operators:
    """All operators of a soak run.

    Args:
        fleet: the processes to call.
        seed: seed of the operators' random choices.

    Attributes:
        confirmed: the confirmed changes.
        drains: the confirmed drains.
        revisions: the configuration revisions that processes reported, in order of observation.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.confirmed: list[ConfirmedChange] = []
        self.drains: list[Drain] = []
        self.revisions: list[ObservedRevision] = []
        self._fleet = fleet
        self._random = random.Random(f"operators {seed}")

    def watch_status(self) -> None:
        """Record the revisions that all entries report, until the greenlet is killed."""
        while True:
            for entry in self._fleet.live_entries():
                self._record_revisions(entry)
            gevent.sleep(STATUS_INTERVAL_S)

    def read_status(self, entry: Entry) -> dict | None:
        """Return the status of all processes as one entry reports it; None if the call failed."""
        return self._call(entry, "GET", "/v1/status")

    def create_service(self, definition: dict) -> int:
        """Put a new service in force and return its revision.

        Raises:
            RuntimeError: if no plan for the service was confirmed.
        """
        confirmed = self._change(definition["name"], lambda present: definition)
        if confirmed is None:
            raise RuntimeError(
                f"no plan for service {definition['name']} was confirmed in {PLAN_TRIES} tries"
            )
        return confirmed.revision

    def race_changes(self) -> None:
        """Let two operators change the same service at the same time."""
        limits = [self._random.randrange(1000, 50_000) for _ in range(2)]
        greenlets = [gevent.spawn(self._change_queue_limit, limit) for limit in limits]
        gevent.joinall(greenlets)

    def drain_back_end(self, address: str, duration_s: float) -> None:
        """Drain a worker or upstream and end the drain after a number of seconds."""
        if self._change(SERVICE, lambda d: _with_draining(d, address, True)) is None:
            return
        drain = Drain(address, now_unix_ms())
        self.drains.append(drain)
        gevent.sleep(duration_s)
        drain.undrain_sent_unix_ms = now_unix_ms()
        self._change(SERVICE, lambda d: _with_draining(d, address, False))

    def find_reverted_changes(self) -> list[str]:
        """Return a message for each confirmed change that is lost or conflicts with another."""
        return [
            violation
            for name in (SERVICE, SIDE_SERVICE)
            for violation in self._find_reverted_changes_of(name)
        ]

    def _find_reverted_changes_of(self, service: str) -> list[str]:
        confirmed = [change for change in self.confirmed if change.service == service]
        newest = max(confirmed, key=lambda change: change.revision)
        entries = self._fleet.live_entries()
        if not entries:
            return [f"{service}: no live entry process to read the configuration from"]
        violations = [
            violation for e in entries for violation in self._find_change_not_in_force(e, newest)
        ]
        history = self._call(entries[0], "GET", f"/v1/services/{service}/history")
        if history is None:
            return [
                *violations,
                f"{service}: the history cannot be read from {entries[0].http_address}",
            ]
        if not history["entries_dropped"]:
            kept_revisions = {entry["revision"] for entry in history["entries"]}
            lost = [c.revision for c in confirmed if c.revision not in kept_revisions]
            violations += [f"{service}: confirmed revision {r} is not in the history" for r in lost]
        return violations + _find_shared_bases(confirmed)

    def _find_change_not_in_force(self, entry: Entry, newest: ConfirmedChange) -> list[str]:
        record = self._call(entry, "GET", f"/v1/services/{newest.service}")
        name = f"{newest.service} at {entry.http_address}"
        if record is None or record["revision"] < newest.revision:
            seen = record and record["revision"]
            return [f"{name}: revision {seen}, confirmed {newest.revision}"]
        same = _convert_definition(record["definition"]) == _convert_definition(newest.definition)
        if record["revision"] == newest.revision and not same:
            return [f"{name}: another definition under revision {newest.revision}"]
        return []

    def _change_queue_limit(self, queue_max_tasks: int) -> None:
        limits = {"limits": {"queue_max_tasks": queue_max_tasks}}
        self._change(SIDE_SERVICE, lambda present: {**present, **limits}, tries=1)

    def _change(
        self, service: str, make_definition: object, tries: int = PLAN_TRIES
    ) -> ConfirmedChange | None:
        """Read a service, plan a change to it and confirm; return None if no try succeeded."""
        for _ in range(tries):
            entry = self._pick_entry()
            present = self._call(entry, "GET", f"/v1/services/{service}") or {}
            definition = make_definition(present.get("definition") or {})
            body = {"service": service, "definition": definition}
            plan = self._call(entry, "POST", "/v1/plans", body)
            if plan is not None and plan["base_revision"] == present.get("revision", 0):
                confirmed = self._confirm(plan, definition)
                if confirmed is not None:
                    return confirmed
            gevent.sleep(RETRY_PAUSE_S)
        return None

    def _confirm(self, plan: dict, definition: dict) -> ConfirmedChange | None:
        """Confirm a plan, retrying while the outcome is unclear; return None if it was refused."""
        for _ in range(CONFIRM_TRIES):
            path = f"/v1/plans/{plan['id']}/confirm"
            status, answer = self._try_call(self._pick_entry(), "POST", path, {})
            if status == 200:
                service, base = plan["service"], plan["base_revision"]
                confirmed = ConfirmedChange(service, base, answer["revision"], definition)
                self.confirmed.append(confirmed)
                return confirmed
            if status and answer["code"] not in UNCLEAR_CODES:
                return None
            gevent.sleep(RETRY_PAUSE_S)
        return None

    def _record_revisions(self, entry: Entry) -> None:
        status = self.read_status(entry)
        for process in status["processes"] if status else ():
            member = process["member"]["member_id"]
            self.revisions.append(ObservedRevision(member, process["config_revision"]))

    def _pick_entry(self) -> Entry:
        return self._random.choice(self._fleet.live_entries() or self._fleet.entries)

    def _call(self, entry: Entry, method: str, path: str, body: object = None) -> dict | None:
        status, answer = self._try_call(entry, method, path, body)
        return answer if status == 200 else None

    def _try_call(
        self, entry: Entry, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        headers = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "soak"}
        try:
            return call(entry.http_address, method, path, body, headers, CALL_TIMEOUT_S)
        except (OSError, HTTPException, msgspec.DecodeError):
            return 0, {}


def _with_draining(definition: dict, address: str, draining: bool) -> dict:
    changed = dict(definition)
    for kind in ("workers", "upstreams"):
        changed[kind] = [
            {**back_end, "draining": draining} if back_end["address"] == address else back_end
            for back_end in definition.get(kind, [])
        ]
    return changed


def _find_shared_bases(confirmed: list[ConfirmedChange]) -> list[str]:
    seen: dict[int, int] = {}
    violations = []
    for change in confirmed:
        if seen.setdefault(change.base_revision, change.revision) != change.revision:
            violations.append(
                f"{change.service}: two plans with base revision {change.base_revision} confirmed"
            )
    return violations


def _convert_definition(fields: dict) -> ServiceDefinition:
    return msgspec.convert(fields, ServiceDefinition)
