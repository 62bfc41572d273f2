from camphorchute.runs.tests.conftest import open_site

__all__ = ["open_site"]
