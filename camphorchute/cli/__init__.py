"""The command line and the settings."""

from camphorchute.cli.settings import SettingFault, Settings, load_settings

__all__ = ["SettingFault", "Settings", "load_settings"]
