"""Sizes measured in one process: message frames, ledgers, job bodies and service records."""

import time
import tracemalloc

import msgspec

from bench.measure.registry import print_json_line, register_measurement
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


@register_measurement
def messages() -> None:
    """Measure the size of message frames in bytes and the processor time to code them."""
    for services in (1, 10, 100, 260):
        slots = [SlotCount(f"service-{n:04}", 120, 30, 192) for n in range(services)]
        _print_frame_row("heartbeat", services, Heartbeat(1200, 3_700_000, False, slots))
    owner = KeyOwner("0123456789ab", "10.20.30.40", Reach.OTHER_HOSTS)
    key = new_key(ZONE)
    entry = KeyEntry(key, 17, b"0" * 16, 1_800_000_000_000, [owner])
    _print_frame_row("witness", 1, Witness(ZONE, 17, 40, owner.member_id, [entry]))
    spec = TaskSpec(kind="check", run_time_ms=180.0)
    for tasks in (1, 50, 150):
        dispatched = [
            DispatchedTask(n, f"{owner.member_id}-{9_000_000 + n}", spec) for n in range(tasks)
        ]
        message = HandOff(key, 17, 40, owner.member_id, SERVICE, "stewards", 9e3, 0, dispatched)
        _print_frame_row("hand_off", tasks, message)
        outcomes = [TaskOutcome(n, answer=f"{key}/{n}") for n in range(tasks)]
        _print_frame_row("tasks_ended", tasks, TasksEnded(key, outcomes))


def _print_frame_row(name: str, items: int, message: Message, repeats: int = 200) -> None:
    frame = Frame(FrameKind.ONE_WAY, 0, message)
    data = encode_frame(frame)
    began_s = time.process_time()
    for _ in range(repeats):
        encode_frame(frame)
    encoded_s = time.process_time()
    for _ in range(repeats):
        decode_frame(data)
    decoded_s = time.process_time()
    print_json_line(
        slope="messages",
        message=name,
        items=items,
        frame_bytes=len(data),
        encode_us=(encoded_s - began_s) / repeats * 1e6,
        decode_us=(decoded_s - encoded_s) / repeats * 1e6,
    )


@register_measurement
def ledger() -> None:
    """Measure the memory that a key takes in a ledger, in bytes."""
    for keys in (10_000, 50_000, 200_000):
        tracemalloc.start()
        filled_ledger = Ledger(max_keys=keys)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(keys):
            owner = KeyOwner("".join(("0123456789", "ab")), "".join(("10.1.", "1.1")), Reach.ANY)
            expires_unix_ms = 4_000_000_000_000 + number
            filled_ledger.hold(
                KeyEntry(new_key(ZONE), number % 32, bytes(16), expires_unix_ms, [owner])
            )
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print_json_line(slope="ledger", keys=keys, bytes_per_key=(after - before) / keys)


@register_measurement
def body() -> None:
    """Measure the size of a job body in JSON, in bytes."""
    for tasks in (1, 50, 150):
        spec = JobSpec(SERVICE, [TaskSpec(kind="check", run_time_ms=180.0)] * tasks)
        print_json_line(slope="body", tasks=tasks, json_bytes=len(msgspec.json.encode(spec)))


@register_measurement
def definition() -> None:
    """Measure the size of a service record in bytes against its number of workers."""
    for workers in (24, 1000, 3000, 18_000):
        _print_definition_row(workers)


def _print_definition_row(workers: int) -> None:
    worker_list = [
        Worker(f"w-{ZONE}-{n}", f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:9100", ZONE)
        for n in range(workers)
    ]
    definition = ServiceDefinition(
        SERVICE, worker_list, quotas={f"team-{n:03}": 9 for n in range(260)}
    )
    size = len(msgspec.json.encode(definition))
    print_json_line(slope="definition", workers=workers, teams=260, record_bytes=size)
