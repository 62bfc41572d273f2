"""The settings in force, read from flags and environment variables and checked together."""

from collections.abc import Mapping
from typing import Any

from camphorchute.cli.settings_table import SETTINGS, SettingInfo

__all__ = ["SettingFault", "Settings", "load_settings"]

HIDDEN = "(hidden)"
UNSPECIFIED_HOSTS = ("0.0.0.0", "[::]")
MS_PER_S = 1000


class SettingFault(Exception):  # noqa: N818
    """One fault of the settings.

    Args:
        name: the setting.
        problem: what is wrong, with the offending value.
    """

    def __init__(self, name: str, problem: str) -> None:
        self.name = name
        self.problem = problem
        super().__init__(f"{name}: {problem}")


class Settings:
    """The settings of one entry process; `settings_table.SETTINGS` tells what each is for.

    Args:
        values: a value for every setting.
        sources: where each value comes from.
    """

    __slots__ = (
        "advertise_http_address",
        "advertise_link_address",
        "answer_retention_s",
        "body_max_bytes",
        "clock_skew_ms",
        "drain_ms",
        "heartbeat_ms",
        "host",
        "http_address",
        "ledger_max_keys",
        "link_address",
        "log_file",
        "operator_token",
        "platform",
        "rack",
        "ready_address",
        "sources",
        "statsd_address",
        "store_writes_per_s",
        "store_url",
        "suspect_ms",
        "vm_list_url",
        "window_s",
        "zone",
        "zones",
    )

    def __init__(self, values: Mapping[str, Any], sources: Mapping[str, str]) -> None:
        self.sources = dict(sources)
        for info in SETTINGS:
            setattr(self, info.name, values[info.name])

    def __repr__(self) -> str:
        shown = ", ".join(f"{name}={text}" for name, text, _ in self.rows())
        return f"Settings({shown})"

    @property
    def store_addresses(self) -> list[str]:
        """``IP:port`` of each gateway of the platform's store."""
        return [url.removeprefix("http://") for url in self.store_url]

    def rows(self) -> list[tuple[str, str, str]]:
        """Return name, value as text and source of every setting; secrets are hidden."""
        return [(info.name, self._shown(info), self.sources[info.name]) for info in SETTINGS]

    def _shown(self, info: SettingInfo) -> str:
        if info.secret:
            return HIDDEN
        value = getattr(self, info.name)
        return ",".join(value) if isinstance(value, list) else str(value)


def load_settings(flags: Mapping[str, str | None], environment: Mapping[str, str]) -> Settings:
    """Return the settings in force.

    Args:
        flags: text of the flags given, by the setting's name.
        environment: the environment variables.

    Raises:
        ExceptionGroup: every `SettingFault` at once.

    Examples:
        >>> try:
        ...     load_settings({"zone": "north", "zones": "south"}, {"CAMPHORCHUTE_WINDOW_S": "x"})
        ... except ExceptionGroup as group:
        ...     print(*[f for f in group.exceptions if f.name in ("window_s", "zone")], sep="; ")
        window_s: 'x' is not a whole number; zone: 'north' is not one of south
    """
    values, sources, faults = {}, {}, []
    for info in SETTINGS:
        text, sources[info.name] = _find(info, flags, environment)
        if text is None:
            problem = f"is required: {info.flag} or {info.variable}"
            faults.append(SettingFault(info.name, problem))
            continue
        try:
            values[info.name] = info.parse(text) if text or info.default != "" else ""
        except ValueError as error:
            faults.append(SettingFault(info.name, str(error)))
    _fill_in(values)
    faults += _mutual_faults(values)
    if faults:
        raise ExceptionGroup("the settings have faults", faults)
    return Settings(values, sources)


def _find(
    info: SettingInfo, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str | None, str]:
    """Return the text of a setting and where it comes from."""
    flag = flags.get(info.name)
    if flag is not None:
        return flag, "flag"
    if info.variable in environment:
        return environment[info.variable], "environment"
    return info.default, "default"


def _fill_in(values: dict[str, Any]) -> None:
    """Give settings that are empty the value of those that they follow."""
    for kind in ("http", "link"):
        if not values.get(f"advertise_{kind}_address") and f"{kind}_address" in values:
            values[f"advertise_{kind}_address"] = values[f"{kind}_address"]
    if not values.get("host") and "advertise_link_address" in values:
        values["host"] = values["advertise_link_address"].rpartition(":")[0]


def _mutual_faults(values: Mapping[str, Any]) -> list[SettingFault]:
    """Return the faults of settings that do not go together; absent ones are passed over."""
    faults = []
    for names, holds, problem in _RULES:
        given = [values[name] for name in names if name in values]
        if len(given) == len(names) and not holds(*given):
            faults.append(SettingFault(names[0], problem.format(*map(_listed, given))))
    return faults


def _listed(value: Any) -> str:
    return ", ".join(value) if isinstance(value, list) else str(value)


def _reachable(address: str) -> bool:
    return address.rpartition(":")[0] not in UNSPECIFIED_HOSTS


def _needed_by_etcd(value: str, platform: str) -> bool:
    return platform != "etcd" or bool(value)


_RULES = (
    (("zone", "zones"), lambda zone, zones: zone in zones, "'{0}' is not one of {1}"),
    (
        ("heartbeat_ms", "suspect_ms"),
        lambda heartbeat_ms, suspect_ms: 2 * heartbeat_ms < suspect_ms,
        "{0} is not under half of suspect_ms {1}",
    ),
    (
        ("answer_retention_s", "window_s"),
        lambda retention_s, window_s: retention_s <= window_s,
        "{0} is over window_s {1}",
    ),
    (
        ("clock_skew_ms", "window_s"),
        lambda skew_ms, window_s: 2 * skew_ms < window_s * MS_PER_S,
        "{0} is not under half of window_s {1}",
    ),
    (
        ("suspect_ms", "window_s"),
        lambda suspect_ms, window_s: suspect_ms < window_s * MS_PER_S,
        "{0} is not under window_s {1}",
    ),
    (
        ("link_address", "http_address"),
        lambda link, http: link != http,
        "{0} is http_address too",
    ),
    (
        ("advertise_http_address",),
        _reachable,
        "{0} cannot be reached by others; give an address of the VM",
    ),
    (
        ("advertise_link_address",),
        _reachable,
        "{0} cannot be reached by others; give an address of the VM",
    ),
    (
        ("vm_list_url", "platform"),
        _needed_by_etcd,
        "is required: --vm-list-url or CAMPHORCHUTE_VM_LIST_URL",
    ),
    (
        ("operator_token", "platform"),
        _needed_by_etcd,
        "is required: --operator-token or CAMPHORCHUTE_OPERATOR_TOKEN",
    ),
)
