"""Sizes that one process can tell: frames, ledgers, submissions and service records."""

import time
import tracemalloc

import msgspec

from bench.measure.registry import measurement, show
from camphorchute.contracts import JobSpec, TaskSpec, new_key
from camphorchute.contracts.job import TaskOutcome
from camphorchute.contracts.messages import (
    DispatchedTask,
    HandOff,
    Heartbeat,
    KeyEntry,
    KeyOwner,
    Message,
    Reach,
    SlotCount,
    TasksEnded,
    Witness,
)
from camphorchute.links.codec import Frame, FrameKind, decode_frame, encode_frame
from camphorchute.services.definition import ServiceDefinition, Worker
from camphorchute.zones import Ledger

__all__ = ["SERVICE", "ZONE"]

ZONE = "north"
SERVICE = "slopes"


@measurement
def messages() -> None:
    """Bytes of a frame, and processor time to write it and to read it."""
    for services in (1, 10, 100, 260):
        slots = [SlotCount(f"service-{n:04}", 120, 30, 192) for n in range(services)]
        _frame_row("heartbeat", services, Heartbeat(1200, 3_700_000, False, slots))
    owner = KeyOwner("0123456789ab", "10.20.30.40", Reach.OTHER_HOSTS)
    key = new_key(ZONE)
    entry = KeyEntry(key, 17, b"0" * 16, 1_800_000_000_000, [owner])
    _frame_row("witness", 1, Witness(ZONE, 17, 40, owner.member_id, [entry]))
    spec = TaskSpec(kind="check", run_time_ms=180.0)
    for tasks in (1, 50, 150):
        handed = [
            DispatchedTask(n, f"{owner.member_id}-{9_000_000 + n}", spec) for n in range(tasks)
        ]
        message = HandOff(key, 17, 40, owner.member_id, SERVICE, "stewards", 9e3, 0, handed)
        _frame_row("hand_off", tasks, message)
        outcomes = [TaskOutcome(n, answer=f"{key}/{n}") for n in range(tasks)]
        _frame_row("tasks_ended", tasks, TasksEnded(key, outcomes))


def _frame_row(name: str, items: int, message: Message, repeats: int = 200) -> None:
    frame = Frame(FrameKind.ONE_WAY, 0, message)
    data = encode_frame(frame)
    began_s = time.process_time()
    for _ in range(repeats):
        encode_frame(frame)
    encoded_s = time.process_time()
    for _ in range(repeats):
        decode_frame(data)
    decoded_s = time.process_time()
    show(
        slope="messages",
        message=name,
        items=items,
        frame_bytes=len(data),
        encode_us=(encoded_s - began_s) / repeats * 1e6,
        decode_us=(decoded_s - encoded_s) / repeats * 1e6,
    )


@measurement
def ledger() -> None:
    """Memory of a key in a ledger."""
    for keys in (10_000, 50_000, 200_000):
        tracemalloc.start()
        held = Ledger(max_keys=keys)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(keys):
            owner = KeyOwner("".join(("0123456789", "ab")), "".join(("10.1.", "1.1")), Reach.ANY)
            expires_unix_ms = 4_000_000_000_000 + number
            held.hold(KeyEntry(new_key(ZONE), number % 32, bytes(16), expires_unix_ms, [owner]))
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        show(slope="ledger", keys=keys, bytes_per_key=(after - before) / keys)


@measurement
def body() -> None:
    """Bytes of a submission as callers send it."""
    for tasks in (1, 50, 150):
        spec = JobSpec(SERVICE, [TaskSpec(kind="check", run_time_ms=180.0)] * tasks)
        show(slope="body", tasks=tasks, json_bytes=len(msgspec.json.encode(spec)))


@measurement
def definition() -> None:
    """Bytes of the record of a service, over its workers."""
    for workers in (24, 1000, 3000, 18_000):
        _definition_row(workers)


def _definition_row(workers: int) -> None:
    listed = [
        Worker(f"w-{ZONE}-{n}", f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:9100", ZONE)
        for n in range(workers)
    ]
    definition = ServiceDefinition(SERVICE, listed, quotas={f"team-{n:03}": 9 for n in range(260)})
    size = len(msgspec.json.encode(definition))
    show(slope="definition", workers=workers, teams=260, record_bytes=size)
