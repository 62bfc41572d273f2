"""Stand-in operators: they drain back ends, race each other and read the status."""

import random
from http.client import HTTPException

import gevent
import msgspec

from bench.fleet import TOKEN, Entry, call
from bench.soak.records import Drain, RevisionSeen
from bench.soak.site import SERVICE, SIDE_SERVICE, Site, now_unix_ms
from camphorchute.contracts import ResultCode
from camphorchute.services.definition import ServiceDefinition

__all__ = ["Confirmed", "Operators"]

CALL_TIMEOUT_S = 6.0
CONFIRM_TRIES = 8
PLAN_TRIES = 4
PAUSE_S = 0.4
STATUS_INTERVAL_S = 0.4
UNCLEAR_CODES = (ResultCode.STORE_UNAVAILABLE, ResultCode.CONFIRM_UNKNOWN)


class Confirmed:
    """A change that an operator was told is confirmed.

    Attributes:
        service: name of the service.
        base_revision: revision that its plan rested on.
        revision: revision of the change.
        definition: the definition that it put in force.
    """

    __slots__ = ("service", "base_revision", "revision", "definition")

    def __init__(self, service: str, base_revision: int, revision: int, definition: dict) -> None:
        self.service = service
        self.base_revision = base_revision
        self.revision = revision
        self.definition = definition


class Operators:
    """All operators of a run.

    Args:
        site: the processes.
        seed: the seed of what they do.

    Attributes:
        confirmed: changes that were confirmed.
        drains: drains that were confirmed.
        revisions: revisions as they were seen.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.confirmed: list[Confirmed] = []
        self.drains: list[Drain] = []
        self.revisions: list[RevisionSeen] = []
        self._site = site
        self._random = random.Random(f"operators {seed}")

    def watch(self) -> None:
        """Read the status of all entries again and again until the greenlet is killed."""
        while True:
            for entry in self._site.live_entries():
                self._read_status(entry)
            gevent.sleep(STATUS_INTERVAL_S)

    def status(self, entry: Entry) -> dict | None:
        """Return the status of all processes as one entry tells it."""
        return self._call(entry, "GET", "/v1/status")

    def create(self, definition: dict) -> int:
        """Put a new service in force and return its revision."""
        confirmed = self._change(definition["name"], lambda present: definition)
        if confirmed is None:
            raise RuntimeError(f"service {definition['name']} was not confirmed")
        return confirmed.revision

    def race(self) -> None:
        """Let two operators change the same service at once."""
        limits = [self._random.randrange(1000, 50_000) for _ in range(2)]
        racers = [gevent.spawn(self._set_queue, limit) for limit in limits]
        gevent.joinall(racers)

    def drain(self, address: str, duration_s: float) -> None:
        """Drain a back end and put it back after some time."""
        if self._change(SERVICE, lambda d: _with_draining(d, address, True)) is None:
            return
        drain = Drain(address, now_unix_ms())
        self.drains.append(drain)
        gevent.sleep(duration_s)
        drain.until_unix_ms = now_unix_ms()
        self._change(SERVICE, lambda d: _with_draining(d, address, False))

    def reverted(self) -> list[str]:
        """Return, for people, what was confirmed and is not in force or not in the history."""
        return [fault for name in (SERVICE, SIDE_SERVICE) for fault in self._reverted(name)]

    def _reverted(self, service: str) -> list[str]:
        confirmed = [change for change in self.confirmed if change.service == service]
        newest = max(confirmed, key=lambda change: change.revision)
        entries = self._site.live_entries()
        if not entries:
            return [f"{service}: no entry process is left to tell what is in force"]
        broken = [fault for e in entries for fault in self._not_in_force(e, newest)]
        history = self._call(entries[0], "GET", f"/v1/services/{service}/history")
        if history is None:
            return [*broken, f"{service}: no history"]
        if not history["entries_dropped"]:
            held = {entry["revision"] for entry in history["entries"]}
            lost = [c.revision for c in confirmed if c.revision not in held]
            broken += [f"{service}: confirmed revision {r} is not in the history" for r in lost]
        return broken + _twice_on_one_base(confirmed)

    def _not_in_force(self, entry: Entry, newest: Confirmed) -> list[str]:
        record = self._call(entry, "GET", f"/v1/services/{newest.service}")
        name = f"{newest.service} at {entry.http_address}"
        if record is None or record["revision"] < newest.revision:
            seen = record and record["revision"]
            return [f"{name}: revision {seen}, confirmed {newest.revision}"]
        same = _definition(record["definition"]) == _definition(newest.definition)
        if record["revision"] == newest.revision and not same:
            return [f"{name}: another definition under revision {newest.revision}"]
        return []

    def _set_queue(self, queue_max_tasks: int) -> None:
        limits = {"limits": {"queue_max_tasks": queue_max_tasks}}
        self._change(SIDE_SERVICE, lambda present: {**present, **limits}, tries=1)

    def _change(self, service: str, change: object, tries: int = PLAN_TRIES) -> Confirmed | None:
        """Read, plan on what was read, and confirm; return None where that did not succeed."""
        for _ in range(tries):
            entry = self._pick_entry()
            present = self._call(entry, "GET", f"/v1/services/{service}") or {}
            definition = change(present.get("definition") or {})
            body = {"service": service, "definition": definition}
            plan = self._call(entry, "POST", "/v1/plans", body)
            if plan is not None and plan["base_revision"] == present.get("revision", 0):
                confirmed = self._confirm(plan, definition)
                if confirmed is not None:
                    return confirmed
            gevent.sleep(PAUSE_S)
        return None

    def _confirm(self, plan: dict, definition: dict) -> Confirmed | None:
        """Confirm a plan, again while the answer is unclear."""
        for _ in range(CONFIRM_TRIES):
            path = f"/v1/plans/{plan['id']}/confirm"
            status, answer = self._try_call(self._pick_entry(), "POST", path, {})
            if status == 200:
                service, base = plan["service"], plan["base_revision"]
                confirmed = Confirmed(service, base, answer["revision"], definition)
                self.confirmed.append(confirmed)
                return confirmed
            if status and answer["code"] not in UNCLEAR_CODES:
                return None
            gevent.sleep(PAUSE_S)
        return None

    def _read_status(self, entry: Entry) -> None:
        status = self.status(entry)
        for process in status["processes"] if status else ():
            member = process["member"]["member_id"]
            self.revisions.append(RevisionSeen(member, process["config_revision"]))

    def _pick_entry(self) -> Entry:
        return self._random.choice(self._site.live_entries() or self._site.entries)

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


def _twice_on_one_base(confirmed: list[Confirmed]) -> list[str]:
    seen: dict[int, int] = {}
    broken = []
    for change in confirmed:
        if seen.setdefault(change.base_revision, change.revision) != change.revision:
            broken.append(f"{change.service}: two plans on base {change.base_revision} confirmed")
    return broken


def _definition(fields: dict) -> ServiceDefinition:
    return msgspec.convert(fields, ServiceDefinition)
