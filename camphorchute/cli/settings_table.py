"""Table of the settings of an entry process: names, defaults, parsers and descriptions.

The command line options, the environment variables and ``docs/settings.md`` follow from it.
"""

import ipaddress
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from camphorchute.policies import POLICY_REGISTRIES, PolicyRegistry

__all__ = ["ENVIRONMENT_PREFIX", "SETTINGS", "SettingInfo", "settings_markdown"]

ENVIRONMENT_PREFIX = "CAMPHORCHUTE_"
TOKEN_MIN_CHARS = 16
PORT_MAX = 65_535
PLATFORMS = ("etcd", "fleet")

_NAME_PATTERN = re.compile(r"[a-z0-9-]{1,32}")


def _parse_text(value: str) -> str:
    return value


def _parse_name(value: str) -> str:
    if not _NAME_PATTERN.fullmatch(value):
        raise ValueError(f"{value!r} must have 1 to 32 characters of a-z, 0-9 and -")
    return value


def _parse_platform(value: str) -> str:
    if value not in PLATFORMS:
        raise ValueError(f"{value!r} is not one of {', '.join(PLATFORMS)}")
    return value


def _parse_zones(value: str) -> list[str]:
    names = [_parse_name(part.strip()) for part in value.split(",")]
    if len(set(names)) < len(names):
        raise ValueError(f"{value!r} names a zone twice")
    return names


def _parse_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"{value!r} is not IP:port") from None
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= PORT_MAX):
        raise ValueError(f"{value!r} has no port in the range 1 to {PORT_MAX}")
    return value


def _parse_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme != "http":
        raise ValueError(f"{value!r} is not http://IP:port")
    _parse_address(parts.netloc)
    return value.rstrip("/")


def _parse_urls(value: str) -> list[str]:
    return [_parse_url(part.strip()) for part in value.split(",")]


def _parse_token(value: str) -> str:
    if len(value) < TOKEN_MIN_CHARS or not (value.isascii() and value.isprintable()):
        raise ValueError(f"must have {TOKEN_MIN_CHARS} or more printable ASCII characters")
    return value


def _integer_parser(minimum: int, maximum: int) -> Callable[[str], int]:
    def parse(value: str) -> int:
        if not re.fullmatch(r"[0-9][0-9_]*", value):
            raise ValueError(f"{value!r} is not a whole number")
        if not minimum <= int(value) <= maximum:
            raise ValueError(f"{value} is not in the range {minimum} to {maximum}")
        return int(value)

    return parse


def _policy_parser(registry: PolicyRegistry) -> Callable[[str], str]:
    def parse(value: str) -> str:
        registry.find(value)
        return value

    return parse


class SettingInfo:
    """Definition of one setting.

    Attributes:
        name: name of the setting, with its unit.
        default: default value as text; None if the setting is required.
        parse: returns the value for a text or raises `ValueError`.
        description: what the setting is for, for the help text and the documentation.
        secret: whether the value is hidden in all output.

    Examples:
        >>> info = SettingInfo("window_s", "600", int, "Resubmission window.")
        >>> info.flag, info.variable, info.parse(info.default)
        ('--window-s', 'CAMPHORCHUTE_WINDOW_S', 600)
    """

    __slots__ = ("default", "description", "name", "parse", "secret")

    def __init__(
        self,
        name: str,
        default: str | None,
        parse: Callable[[str], Any],
        description: str,
        secret: bool = False,
    ) -> None:
        self.name = name
        self.default = default
        self.parse = parse
        self.description = description
        self.secret = secret

    @property
    def flag(self) -> str:
        """Flag on the command line."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


_DAY_S = 86_400
_HOUR_MS = 3_600_000

_POLICIES = (
    ("admission", "useful", "Until when a job must be able to start to be accepted"),
    ("task_order", "started-first", "Order in which pending tasks start"),
    ("worker_choice", "own-zone-first", "Workers that are chosen first"),
    ("overdue", "spread", "Runs that are stopped as overdue and started elsewhere"),
    ("ejection", "outlier", "Workers that are given no tasks for a while"),
    ("crash_limit", "two-machines", "Tasks that are given up after workers crashed under them"),
    ("concurrency_limit", "adaptive", "Limit of the open tasks of the jobs of this process"),
    ("readiness", "can-place", "When this process reports itself ready"),
    ("interference", "off", "Whether tasks that slow each other down are kept apart"),
)

SETTINGS = (
    SettingInfo("zone", None, _parse_name, "Availability zone of this process."),
    SettingInfo(
        "zones",
        None,
        _parse_zones,
        "All availability zones, separated by commas; the same list at every process.",
    ),
    SettingInfo("http_address", None, _parse_address, "IP:port for callers and operators."),
    SettingInfo("link_address", None, _parse_address, "IP:port for other entry processes."),
    SettingInfo(
        "advertise_http_address",
        "",
        _parse_address,
        "IP:port under which others reach http_address; http_address if empty.",
    ),
    SettingInfo(
        "advertise_link_address",
        "",
        _parse_address,
        "IP:port under which others reach link_address; link_address if empty.",
    ),
    SettingInfo(
        "host",
        "",
        _parse_text,
        "Name of the VM; processes of one VM fail together. "
        "The IP of the advertised link address if empty.",
    ),
    SettingInfo("rack", "", _parse_text, "Rack of the VM, empty where it is not known."),
    SettingInfo(
        "store_url",
        None,
        _parse_urls,
        "http://IP:port of the platform's store; several gateways are separated by commas.",
    ),
    SettingInfo(
        "platform",
        "etcd",
        _parse_platform,
        "Platform that the process runs on: etcd, with a VM list and workers that cannot be "
        "fenced, or fleet, with service discovery in the store and workers that can.",
    ),
    SettingInfo(
        "ready_address",
        "",
        _parse_address,
        "IP:port that answers readiness checks of the load balancer; only with platform fleet.",
    ),
    SettingInfo(
        "vm_list_url",
        "",
        _parse_url,
        "http://IP:port of the platform's VM list; required with platform etcd.",
    ),
    SettingInfo(
        "statsd_address", "", _parse_address, "IP:port for metrics; none are sent if empty."
    ),
    SettingInfo(
        "operator_token",
        "",
        _parse_token,
        f"Token that operators' calls carry, {TOKEN_MIN_CHARS} characters or more; "
        "required with platform etcd. "
        "The environment variable keeps it out of process lists.",
        secret=True,
    ),
    SettingInfo(
        "heartbeat_ms", "500", _integer_parser(10, 60_000), "Interval of heartbeats on every link."
    ),
    SettingInfo(
        "suspect_ms",
        "2500",
        _integer_parser(50, 600_000),
        "Time without a message from a peer after which it is suspected to have failed; "
        "more than twice heartbeat_ms.",
    ),
    SettingInfo(
        "window_s",
        "600",
        _integer_parser(1, _DAY_S),
        "Resubmission window: how long keys are remembered.",
    ),
    SettingInfo(
        "answer_retention_s",
        "120",
        _integer_parser(1, _DAY_S),
        "How long complete answers are kept for a resubmission; at most window_s.",
    ),
    SettingInfo(
        "ledger_max_keys",
        "200000",
        _integer_parser(1, 100_000_000),
        "Largest number of idempotency keys held by this process.",
    ),
    SettingInfo(
        "drain_ms",
        "30000",
        _integer_parser(0, _HOUR_MS),
        "Longest time to wait for running work when this process stops.",
    ),
    SettingInfo(
        "evacuation_return_ms",
        "3000",
        _integer_parser(0, _HOUR_MS),
        "Time in which a zone returns to service after its evacuation; only with platform fleet.",
    ),
    SettingInfo(
        "resend_ms",
        "1300",
        _integer_parser(1200, _HOUR_MS),
        "Time after which a caller that got no answer sends its job again, to any process; runs "
        "for a lost process have ended by then. Only with platform fleet.",
    ),
    SettingInfo(
        "body_max_bytes",
        "2000000",
        _integer_parser(1024, 1_000_000_000),
        "Largest body of a request.",
    ),
    SettingInfo(
        "receive_max_bytes",
        "0",
        _integer_parser(0, 1_000_000_000_000),
        "Memory for the bodies of all requests that are being received or answered; at least twice "
        "body_max_bytes. 0 stands for a quarter of the machine's memory, at most 256 MB.",
    ),
    SettingInfo(
        "connections_max",
        "0",
        _integer_parser(0, 100_000),
        "Open connections of callers and operators; at more, those that wait for their caller "
        "longest are closed. 0 stands for one for each 512 KB of the machine's memory and half of "
        "the descriptors, 64 to 4096.",
    ),
    SettingInfo(
        "clock_skew_ms",
        "5000",
        _integer_parser(0, _HOUR_MS),
        "Largest difference between the clocks of callers and VMs; under half of window_s.",
    ),
    SettingInfo(
        "store_writes_per_s",
        "400",
        _integer_parser(1, 1_000_000),
        "Writes a second that the platform's store takes from all processes together.",
    ),
    *(
        SettingInfo(
            f"{name}_policy",
            default,
            _policy_parser(POLICY_REGISTRIES[name]),
            f"{description}: {', '.join(POLICY_REGISTRIES[name].names())}; "
            "only with platform fleet.",
        )
        for name, default, description in _POLICIES
    ),
    SettingInfo(
        "log_file", "-", _parse_text, "File that logs are appended to; - is standard error."
    ),
)


def settings_markdown() -> str:
    """Return the text of ``docs/settings.md``, generated from `SETTINGS`."""
    lines = [
        "# Settings",
        "",
        "Generated from `camphorchute.cli.settings_table` by `camphorchute settings --markdown`.",
        "A flag takes precedence over its environment variable. `camphorchute settings` prints the",
        "values in force and where each comes from.",
        "",
        "| flag | environment variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for info in SETTINGS:
        default = "required" if info.default is None else f"`{info.default}`"
        default = "" if info.default == "" else default
        lines.append(f"| `{info.flag}` | `{info.variable}` | {default} | {info.description} |")
    return "\n".join(lines) + "\n"
