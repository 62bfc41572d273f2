"""Loads the settings from flags, environment variables and defaults, and validates them."""

from collections.abc import Mapping
from typing import Any

from camphorchute.cli.settings_table import SETTINGS, SettingInfo
from camphorchute.machine_limits import descriptors_max, machine_memory_bytes

__all__ = ["SettingError", "Settings", "load_settings"]

HIDDEN_TEXT = "(hidden)"
UNSPECIFIED_HOSTS = ("0.0.0.0", "[::]")
MS_PER_S = 1000
MEMORY_DIVISOR = 4
RECEIVE_DEFAULT_MAX_BYTES = 256_000_000
MEMORY_PER_CONNECTION_BYTES = 512 * 1024  # a quarter of it for headers, unread bytes and objects
CONNECTIONS_DEFAULT_MIN, CONNECTIONS_DEFAULT_MAX = 64, 4096
FILE_DESCRIPTORS = 200


class SettingError(Exception):
    """A validation error of one setting.

    Args:
        name: name of the setting.
        problem: what is wrong, with the offending value.
    """

    def __init__(self, name: str, problem: str) -> None:
        self.name = name
        self.problem = problem
        super().__init__(f"{name}: {problem}")


class Settings:
    """The settings of one entry process; `settings_table.SETTINGS` describes each.

    Args:
        values: value of every setting, by name.
        sources: ``flag``, ``environment`` or ``default`` for every setting, by name.
    """

    __slots__ = (
        "admission_policy",
        "concurrency_limit_policy",
        "crash_limit_policy",
        "advertise_http_address",
        "advertise_link_address",
        "answer_retention_s",
        "body_max_bytes",
        "clock_skew_ms",
        "connections_max",
        "drain_ms",
        "evacuation_return_ms",
        "resend_ms",
        "ejection_policy",
        "heartbeat_ms",
        "host",
        "http_address",
        "interference_policy",
        "ledger_max_keys",
        "link_address",
        "log_file",
        "operator_token",
        "overdue_policy",
        "platform",
        "rack",
        "readiness_policy",
        "ready_address",
        "receive_max_bytes",
        "sources",
        "statsd_address",
        "store_writes_per_s",
        "store_url",
        "suspect_ms",
        "task_order_policy",
        "vm_list_url",
        "window_s",
        "worker_choice_policy",
        "zone",
        "zones",
    )

    def __init__(self, values: Mapping[str, Any], sources: Mapping[str, str]) -> None:
        self.sources = dict(sources)
        for info in SETTINGS:
            setattr(self, info.name, values[info.name])

    def __repr__(self) -> str:
        pairs = ", ".join(f"{name}={text}" for name, text, _ in self.rows())
        return f"Settings({pairs})"

    @property
    def store_addresses(self) -> list[str]:
        """``IP:port`` of each gateway of the platform's store, in the order of ``store_url``."""
        return [url.removeprefix("http://") for url in self.store_url]

    def rows(self) -> list[tuple[str, str, str]]:
        """Return name, value as text and source of every setting; secrets are hidden."""
        return [(info.name, self._value_text(info), self.sources[info.name]) for info in SETTINGS]

    def _value_text(self, info: SettingInfo) -> str:
        if info.secret:
            return HIDDEN_TEXT
        value = getattr(self, info.name)
        return ",".join(value) if isinstance(value, list) else str(value)


def load_settings(flags: Mapping[str, str | None], environment: Mapping[str, str]) -> Settings:
    """Return the settings; a flag takes precedence over the environment variable.

    Args:
        flags: text of each flag, by the name of its setting; None where it was not given.
        environment: the environment variables.

    Raises:
        ExceptionGroup: settings are missing or invalid; it holds a `SettingError` for each
            violation.

    Examples:
        >>> try:
        ...     load_settings({"zone": "north", "zones": "south"}, {"CAMPHORCHUTE_WINDOW_S": "x"})
        ... except ExceptionGroup as group:
        ...     print(*[e for e in group.exceptions if e.name in ("window_s", "zone")], sep="; ")
        window_s: 'x' is not a whole number; zone: 'north' is not one of south
    """
    values, sources, errors = {}, {}, []
    for info in SETTINGS:
        text, sources[info.name] = _find_text(info, flags, environment)
        if text is None:
            problem = f"is required: give {info.flag} or {info.variable}"
            errors.append(SettingError(info.name, problem))
            continue
        try:
            values[info.name] = info.parse(text) if text or info.default != "" else ""
        except ValueError as error:
            errors.append(SettingError(info.name, str(error)))
    _fill_derived_settings(values)
    errors += _check_rules(values)
    if errors:
        raise ExceptionGroup("invalid settings", errors)
    return Settings(values, sources)


def _find_text(
    info: SettingInfo, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str | None, str]:
    """Return the text of a setting, None where it is missing, and the source of the text."""
    flag = flags.get(info.name)
    if flag is not None:
        return flag, "flag"
    if info.variable in environment:
        return environment[info.variable], "environment"
    return info.default, "default"


def _fill_derived_settings(values: dict[str, Any]) -> None:
    """Fill in empty settings whose default is derived from another setting."""
    for kind in ("http", "link"):
        if not values.get(f"advertise_{kind}_address") and f"{kind}_address" in values:
            values[f"advertise_{kind}_address"] = values[f"{kind}_address"]
    if not values.get("host") and "advertise_link_address" in values:
        values["host"] = values["advertise_link_address"].rpartition(":")[0]
    if values.get("receive_max_bytes") == 0 and "body_max_bytes" in values:
        by_memory = min(machine_memory_bytes() // MEMORY_DIVISOR, RECEIVE_DEFAULT_MAX_BYTES)
        values["receive_max_bytes"] = max(by_memory, 2 * values["body_max_bytes"])
    if values.get("connections_max") == 0:
        by_memory = machine_memory_bytes() // MEMORY_PER_CONNECTION_BYTES
        by_descriptors = (descriptors_max() - FILE_DESCRIPTORS) // 2
        most = min(by_memory, by_descriptors, CONNECTIONS_DEFAULT_MAX)
        values["connections_max"] = max(most, CONNECTIONS_DEFAULT_MIN)


def _check_rules(values: Mapping[str, Any]) -> list[SettingError]:
    """Return an error for each violated rule; rules on missing or invalid settings are skipped."""
    errors = []
    for names, is_satisfied, problem in _RULES:
        given = [values[name] for name in names if name in values]
        if len(given) == len(names) and not is_satisfied(*given):
            errors.append(SettingError(names[0], problem.format(*map(_to_text, given))))
    return errors


def _to_text(value: Any) -> str:
    return ", ".join(value) if isinstance(value, list) else str(value)


def _has_specific_host(address: str) -> bool:
    return address.rpartition(":")[0] not in UNSPECIFIED_HOSTS


def _is_set_if_etcd(value: str, platform: str) -> bool:
    return platform != "etcd" or bool(value)


# Each rule: the settings that it concerns, a condition on their values, and the error where the
# condition is false, which is reported for the first of the settings.
_RULES = (
    (("zone", "zones"), lambda zone, zones: zone in zones, "'{0}' is not one of {1}"),
    (
        ("heartbeat_ms", "suspect_ms"),
        lambda heartbeat_ms, suspect_ms: 2 * heartbeat_ms < suspect_ms,
        "{0} must be less than half of suspect_ms ({1})",
    ),
    (
        ("answer_retention_s", "window_s"),
        lambda retention_s, window_s: retention_s <= window_s,
        "{0} must not exceed window_s ({1})",
    ),
    (
        ("clock_skew_ms", "window_s"),
        lambda skew_ms, window_s: 2 * skew_ms < window_s * MS_PER_S,
        "{0} must be less than half of window_s ({1})",
    ),
    (
        ("suspect_ms", "window_s"),
        lambda suspect_ms, window_s: suspect_ms < window_s * MS_PER_S,
        "{0} must be less than window_s ({1})",
    ),
    (
        ("receive_max_bytes", "body_max_bytes"),
        lambda receive, body: receive >= 2 * body,
        "{0} must be at least twice body_max_bytes ({1})",
    ),
    (
        ("link_address", "http_address"),
        lambda link, http: link != http,
        "{0} must differ from http_address",
    ),
    (
        ("advertise_http_address",),
        _has_specific_host,
        "{0} cannot be reached by other processes; give an IP address of the VM",
    ),
    (
        ("advertise_link_address",),
        _has_specific_host,
        "{0} cannot be reached by other processes; give an IP address of the VM",
    ),
    (
        ("vm_list_url", "platform"),
        _is_set_if_etcd,
        "is required with platform etcd: give --vm-list-url or CAMPHORCHUTE_VM_LIST_URL",
    ),
    (
        ("operator_token", "platform"),
        _is_set_if_etcd,
        "is required with platform etcd: give --operator-token or CAMPHORCHUTE_OPERATOR_TOKEN",
    ),
)
