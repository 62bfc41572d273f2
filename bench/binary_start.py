"""Start of the one file that ships: import compiled modules of the archive from memory.

It stands as ``__main__`` in the archive and uses the standard library only.
"""

import os
import sys
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from zipfile import ZipFile


class MemoryFinder(MetaPathFinder):
    """Finds compiled modules in the archive and maps them from an anonymous file in memory.

    Args:
        archive_path: path of the archive.
    """

    def __init__(self, archive_path: str) -> None:
        self._archive = ZipFile(archive_path)
        self._names = frozenset(self._archive.namelist())

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a compiled module, None for every other."""
        for suffix in EXTENSION_SUFFIXES:
            name = fullname.replace(".", "/") + suffix
            if name in self._names:
                return self._spec(fullname, name)
        return None

    def _spec(self, fullname: str, name: str) -> ModuleSpec:
        mapped = f"/proc/self/fd/{self._load(name)}"
        return spec_from_file_location(
            fullname, mapped, loader=ExtensionFileLoader(fullname, mapped)
        )

    def _load(self, name: str) -> int:
        """Return a descriptor of the module's bytes.

        It stays open: the C library knows a mapped file by its path, so no path may come twice.
        """
        descriptor = os.memfd_create(os.path.basename(name), os.MFD_CLOEXEC)
        content = memoryview(self._archive.read(name))
        while content:
            content = content[os.write(descriptor, content) :]
        return descriptor


def start() -> None:
    """Import from the archive first, then run the command line."""
    archive_path = os.path.abspath(sys.argv[0])
    sys.meta_path.insert(0, MemoryFinder(archive_path))
    from camphorchute.cli.main import main

    main(prog_name="camphorchute")


if __name__ == "__main__":
    start()
