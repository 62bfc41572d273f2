"""Reservations of loopback addresses."""

import socket

import pytest

from bench.address_base import SERVERS, reserve_address_base
from bench.fleet import Fleet
from bench.hosted_fleet import HostedFleet

BASE = 20
OTHERS = (21, 22, 23)


@pytest.fixture
def reserve():
    reserved = []

    def reserve_one(preferred, fallbacks=OTHERS):
        reserved.append(reserve_address_base(preferred, fallbacks))
        return reserved[-1]

    yield reserve_one
    for base in reserved:
        base.close()


def test_each_reservation_has_addresses_of_its_own(reserve):
    numbers = [reserve(BASE).number for _ in OTHERS]
    assert len(set(numbers)) == len(OTHERS)


def test_released_addresses_are_reserved_again(reserve):
    first = reserve(BASE)
    first.close()
    assert reserve(first.number, ()).number == first.number


def test_reservation_fails_if_all_addresses_are_in_use(reserve):
    taken = reserve(BASE).number
    with pytest.raises(RuntimeError, match="no free loopback addresses"):
        reserve(taken, (taken,))


# Guards against processes that a killed run has left behind: they hold no reservation.
@pytest.mark.parametrize(("host_part", "port"), SERVERS)
def test_addresses_with_a_listening_server_are_not_reserved(reserve, host_part, port):
    first = reserve(BASE)
    first.close()
    with socket.create_server((f"127.{first.number}.{host_part}", port)):
        assert reserve(first.number).number != first.number


# Guards against the fleets of two work trees on the same addresses: a test got the answers of the
# other tree's processes, and refused connections once that tree had ended them.
def test_fleets_at_the_same_time_use_different_addresses(tmp_path):
    fleets = [Fleet(["north"], tmp_path, BASE) for _ in range(2)]
    try:
        fleets += [HostedFleet(["north"], 1, tmp_path, BASE) for _ in range(2)]
        assert len({fleet.base for fleet in fleets}) == len(fleets)
    finally:
        for fleet in fleets:
            fleet.close()


# Guards against taking the answer of a process of another run for that of an own one that has
# ended: the own one cannot listen on an address that is in use.
def test_fleet_whose_process_has_ended_is_not_ready(tmp_path):
    fleet = Fleet(["north"], tmp_path, BASE)
    try:
        fleet.start_platform()
        entry = fleet.add_entry("north", 1)
        fleet.kill(entry)
        with socket.create_server((entry.host, 9200)), pytest.raises(RuntimeError, match="ended"):
            fleet.wait_ready()
    finally:
        fleet.close()


def test_hosted_fleet_whose_process_has_ended_is_not_ready(tmp_path):
    fleet = HostedFleet(["north"], 1, tmp_path, BASE)
    try:
        entry = fleet.add_entry("north", 1)
        entry.process.kill()
        entry.process.wait()
        with pytest.raises(RuntimeError, match="ended"):
            fleet.wait_ready()
    finally:
        fleet.close()
