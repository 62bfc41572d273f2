"""Entry point of the executable file, which loads extension modules from memory.

This module becomes ``__main__`` of the archive, so it uses only the standard library.
"""

import os
import sys
from importlib.abc import MetaPathFinder
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from zipfile import ZipFile


class MemoryFinder(MetaPathFinder):
    """Import hook that loads extension modules of the archive from anonymous memory files.

    Args:
        archive_path: path of the archive.
    """

    def __init__(self, archive_path: str) -> None:
        self._archive = ZipFile(archive_path)
        self._names = frozenset(self._archive.namelist())

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of an extension module of the archive, or None for any other module."""
        for suffix in EXTENSION_SUFFIXES:
            name = fullname.replace(".", "/") + suffix
            if name in self._names:
                return self._module_spec(fullname, name)
        return None

    def _module_spec(self, fullname: str, name: str) -> ModuleSpec:
        path = f"/proc/self/fd/{self._open_memory_file(name)}"
        return spec_from_file_location(fullname, path, loader=ExtensionFileLoader(fullname, path))

    def _open_memory_file(self, name: str) -> int:
        """Return the descriptor of a memory file that holds a file of the archive.

        It is never closed: the C library identifies a loaded file by its path, so no descriptor
        number may be reused.
        """
        descriptor = os.memfd_create(os.path.basename(name), os.MFD_CLOEXEC)
        content = memoryview(self._archive.read(name))
        while content:
            content = content[os.write(descriptor, content) :]
        return descriptor


def start() -> None:
    """Install the import hook and run the command line of the program."""
    archive_path = os.path.abspath(sys.argv[0])
    sys.meta_path.insert(0, MemoryFinder(archive_path))
    from camphorchute.cli.main import main

    main(prog_name="camphorchute")


if __name__ == "__main__":
    start()
