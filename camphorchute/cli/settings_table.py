"""The settings of an entry process: names, defaults, forms and what they are for."""

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

__all__ = ["ENVIRONMENT_PREFIX", "SETTINGS", "SettingInfo", "settings_markdown"]

ENVIRONMENT_PREFIX = "CAMPHORCHUTE_"
TOKEN_MIN_CHARS = 16
PORT_MAX = 65_535
PLATFORMS = ("etcd", "fleet")

_NAME_FORM = re.compile(r"[a-z0-9-]{1,32}")


def _text(value: str) -> str:
    return value


def _name(value: str) -> str:
    if not _NAME_FORM.fullmatch(value):
        raise ValueError(f"{value!r} is not 1 to 32 of a-z, 0-9 and -")
    return value


def _platform(value: str) -> str:
    if value not in PLATFORMS:
        raise ValueError(f"{value!r} is not one of {', '.join(PLATFORMS)}")
    return value


def _names(value: str) -> list[str]:
    names = [_name(part.strip()) for part in value.split(",")]
    if len(set(names)) < len(names):
        raise ValueError(f"{value!r} names a zone twice")
    return names


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"{value!r} is not IP:port") from None
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= PORT_MAX):
        raise ValueError(f"{value!r} has no port in 1 to {PORT_MAX}")
    return value


def _url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme != "http":
        raise ValueError(f"{value!r} is not http://IP:port")
    _address(parts.netloc)
    return value.rstrip("/")


def _urls(value: str) -> list[str]:
    return [_url(part.strip()) for part in value.split(",")]


def _token(value: str) -> str:
    if len(value) < TOKEN_MIN_CHARS or not (value.isascii() and value.isprintable()):
        raise ValueError(f"needs {TOKEN_MIN_CHARS} or more printable ASCII characters")
    return value


def _whole(lowest: int, highest: int) -> Callable[[str], int]:
    def parse(value: str) -> int:
        if not re.fullmatch(r"[0-9][0-9_]*", value):
            raise ValueError(f"{value!r} is not a whole number")
        if not lowest <= int(value) <= highest:
            raise ValueError(f"{value} is not in {lowest} to {highest}")
        return int(value)

    return parse


class SettingInfo:
    """What one setting is.

    Attributes:
        name: its name, with its unit.
        default: the default as text; None where the setting is required.
        parse: turns text into the value or raises `ValueError`.
        meaning: what it is for.
        secret: whether its value is never shown.

    Examples:
        >>> info = SettingInfo("window_s", "600", int, "Resubmission window.")
        >>> info.flag, info.variable, info.parse(info.default)
        ('--window-s', 'CAMPHORCHUTE_WINDOW_S', 600)
    """

    __slots__ = ("default", "meaning", "name", "parse", "secret")

    def __init__(
        self,
        name: str,
        default: str | None,
        parse: Callable[[str], Any],
        meaning: str,
        secret: bool = False,
    ) -> None:
        self.name = name
        self.default = default
        self.parse = parse
        self.meaning = meaning
        self.secret = secret

    @property
    def flag(self) -> str:
        """The command line's flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


_DAY_S = 86_400
_HOUR_MS = 3_600_000

SETTINGS = (
    SettingInfo("zone", None, _name, "Availability zone that this process stands in."),
    SettingInfo(
        "zones",
        None,
        _names,
        "All availability zones, separated by commas; the same list at every process.",
    ),
    SettingInfo("http_address", None, _address, "IP:port for callers and operators."),
    SettingInfo("link_address", None, _address, "IP:port for other entry processes."),
    SettingInfo(
        "advertise_http_address",
        "",
        _address,
        "IP:port under which others reach http_address; http_address if empty.",
    ),
    SettingInfo(
        "advertise_link_address",
        "",
        _address,
        "IP:port under which others reach link_address; link_address if empty.",
    ),
    SettingInfo(
        "host",
        "",
        _text,
        "Name of the VM; processes of one VM fail together. "
        "The IP of the advertised link address if empty.",
    ),
    SettingInfo("rack", "", _text, "Rack of the VM, empty where it is not known."),
    SettingInfo(
        "store_url",
        None,
        _urls,
        "http://IP:port of the platform's store; several gateways are separated by commas.",
    ),
    SettingInfo(
        "platform",
        "etcd",
        _platform,
        "Platform that the process runs on: etcd, with a VM list and workers that cannot be "
        "fenced, or fleet, with service discovery in the store and workers that can.",
    ),
    SettingInfo(
        "ready_address",
        "",
        _address,
        "IP:port that tells the balancer whether to send requests here; only with platform fleet.",
    ),
    SettingInfo(
        "vm_list_url",
        "",
        _url,
        "http://IP:port of the platform's VM list; required with platform etcd.",
    ),
    SettingInfo("statsd_address", "", _address, "IP:port for metrics; none are sent if empty."),
    SettingInfo(
        "operator_token",
        "",
        _token,
        f"Token that operators' calls carry, {TOKEN_MIN_CHARS} characters or more; "
        "required with platform etcd. "
        "The environment variable keeps it out of process lists.",
        secret=True,
    ),
    SettingInfo("heartbeat_ms", "500", _whole(10, 60_000), "Interval of heartbeats on every link."),
    SettingInfo(
        "suspect_ms",
        "2500",
        _whole(50, 600_000),
        "Silence after which a peer is suspected; over twice heartbeat_ms.",
    ),
    SettingInfo(
        "window_s", "600", _whole(1, _DAY_S), "Resubmission window: how long keys are remembered."
    ),
    SettingInfo(
        "answer_retention_s",
        "120",
        _whole(1, _DAY_S),
        "How long whole answers are held for a resubmission; at most window_s.",
    ),
    SettingInfo(
        "ledger_max_keys", "200000", _whole(1, 100_000_000), "Most keys held by this process."
    ),
    SettingInfo(
        "drain_ms",
        "30000",
        _whole(0, _HOUR_MS),
        "Longest time that running work is given when this process stops.",
    ),
    SettingInfo(
        "body_max_bytes", "2000000", _whole(1024, 1_000_000_000), "Largest body of a request."
    ),
    SettingInfo(
        "clock_skew_ms",
        "5000",
        _whole(0, _HOUR_MS),
        "Largest difference between the clocks of callers and VMs; under half of window_s.",
    ),
    SettingInfo(
        "store_writes_per_s",
        "400",
        _whole(1, 1_000_000),
        "Writes a second that the platform's store takes from all processes together.",
    ),
    SettingInfo("log_file", "-", _text, "File that logs are appended to; - is standard error."),
)


def settings_markdown() -> str:
    """Return ``docs/settings.md``, written from the table."""
    lines = [
        "# Settings",
        "",
        "Written from `camphorchute.cli.settings_table` by `camphorchute settings --markdown`.",
        "A flag goes before its environment variable. `camphorchute settings` prints the values",
        "in force and where each comes from.",
        "",
        "| flag | environment variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for info in SETTINGS:
        default = "required" if info.default is None else f"`{info.default}`"
        default = "" if info.default == "" else default
        lines.append(f"| `{info.flag}` | `{info.variable}` | {default} | {info.meaning} |")
    return "\n".join(lines) + "\n"
