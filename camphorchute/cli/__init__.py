"""The command line interface and the settings of an entry process."""

from camphorchute.cli.settings import SettingError, Settings, load_settings

__all__ = ["SettingError", "Settings", "load_settings"]
