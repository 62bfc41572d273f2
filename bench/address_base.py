"""Reservation of loopback addresses, so that no two runs on a machine use the same ones."""

import socket
from collections.abc import Iterable

__all__ = ["AddressBase", "reserve_address_base"]

PLATFORM_PORT = 9000
HTTP_PORT = 9200
RESERVATION_PORT = 9700
RESERVATION_HOST_PART = "0.3"
SERVERS = (("0.1", PLATFORM_PORT), ("1.1", HTTP_PORT), ("1.2", HTTP_PORT), ("2.1", HTTP_PORT))
FALLBACKS = range(254, 10, -1)


class AddressBase:
    """The second byte of the loopback addresses of one run, reserved until `close`.

    A socket that listens on one of the addresses is the reservation, so that it ends with its
    process at the latest.

    Attributes:
        number: the second byte.
    """

    __slots__ = ("number", "_reservation")

    def __init__(self, number: int, reservation: socket.socket) -> None:
        self.number = number
        self._reservation = reservation

    def close(self) -> None:
        """Release the addresses."""
        self._reservation.close()


def reserve_address_base(preferred: int, fallbacks: Iterable[int] = FALLBACKS) -> AddressBase:
    """Reserve loopback addresses that no other run uses.

    Addresses without a reservation at which a server of a fleet listens, such as one that a killed
    run has left behind, count as used.

    Args:
        preferred: second byte to try first.
        fallbacks: second bytes to try after it.

    Raises:
        RuntimeError: all are in use.
    """
    for number in (preferred, *fallbacks):
        reservation = _try_reserve(number)
        if reservation is not None:
            return AddressBase(number, reservation)
    raise RuntimeError(f"no free loopback addresses: 127.{preferred}.0.0 and others are in use")


def _try_reserve(number: int) -> socket.socket | None:
    reservation = socket.socket()
    try:
        reservation.bind((f"127.{number}.{RESERVATION_HOST_PART}", RESERVATION_PORT))
        reservation.listen()
    except OSError:
        reservation.close()
        return None
    if any(_is_listening(f"127.{number}.{part}", port) for part, port in SERVERS):
        reservation.close()
        return None
    return reservation


def _is_listening(host: str, port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) == 0
