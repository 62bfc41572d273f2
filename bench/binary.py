"""Build ``dist/camphorchute``: one executable file that holds the program and its libraries.

The file is a zip archive that the interpreter runs. Compiled modules cannot be imported from an
archive; :mod:`bench.binary_start` maps them from memory.
"""

import io
import os
import py_compile
import re
import sys
import tempfile
import tomllib
import zipfile
from importlib import metadata
from pathlib import Path, PurePosixPath

from packaging.requirements import Requirement

__all__ = ["build", "closure", "main"]

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "camphorchute"
START_MODULE = ROOT / "bench" / "binary_start.py"
INTERPRETER = "/usr/bin/env -S python3.11 -IS"
PROGRAM = "camphorchute"
EXECUTABLE_MODE = 0o755
TIMESTAMP = (1980, 1, 1, 0, 0, 0)
LEFT_OUT_PARTS = frozenset({"tests", "testing", "test", "__pycache__", "deps"})
LEFT_OUT_SUFFIXES = frozenset({".pyc", ".pyi", ".pyx", ".pxd", ".c", ".cpp", ".h", ".hpp"})
OUTSIDE_PREFIX = "../"


def closure(names: list[str]) -> list[metadata.Distribution]:
    """Return the distributions that some need, and these themselves, by name.

    Examples:
        >>> [d.metadata["Name"] for d in closure(["msgspec"])]
        ['msgspec']
    """
    found: dict[str, metadata.Distribution] = {}
    waiting = list(names)
    while waiting:
        name = waiting.pop().lower().replace("_", "-").replace(".", "-")
        if name in found:
            continue
        found[name] = metadata.distribution(name)
        waiting += _needed(found[name])
    return [found[name] for name in sorted(found)]


def _needed(distribution: metadata.Distribution) -> list[str]:
    requirements = [Requirement(text) for text in distribution.requires or []]
    return [r.name for r in requirements if r.marker is None or r.marker.evaluate({"extra": ""})]


def _library_files(distribution: metadata.Distribution) -> dict[str, bytes]:
    """Return the contents of a distribution's files that are of use when it runs."""
    paths = [path for path in distribution.files or [] if _is_shipped(path)]
    return {path.as_posix(): path.read_binary() for path in paths}


def _is_shipped(path: PurePosixPath) -> bool:
    if path.as_posix().startswith(OUTSIDE_PREFIX) or path.suffix in LEFT_OUT_SUFFIXES:
        return False
    return not LEFT_OUT_PARTS.intersection(path.parts)


def _program_files() -> dict[str, bytes]:
    paths = [path.relative_to(ROOT) for path in sorted((ROOT / PROGRAM).rglob("*.py"))]
    return {path.as_posix(): (ROOT / path).read_bytes() for path in paths if _is_shipped(path)}


def _program_metadata() -> dict[str, bytes]:
    """Return what ``importlib.metadata`` reads of the program itself."""
    project = (ROOT / "pyproject.toml").read_text()
    version = re.search(r'^version = "(.+)"$', project, re.MULTILINE)[1]
    text = f"Metadata-Version: 2.1\nName: {PROGRAM}\nVersion: {version}\n"
    return {f"{PROGRAM}-{version}.dist-info/METADATA": text.encode()}


def _required_names() -> list[str]:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return [Requirement(text).name for text in project["dependencies"]]


def _compiled(sources: dict[str, bytes]) -> dict[str, bytes]:
    """Return the byte code of Python sources, so that a start does not compile them."""
    compiled = {}
    with tempfile.TemporaryDirectory() as folder:
        source_file, code_file = Path(folder, "source.py"), Path(folder, "code.pyc")
        for name in [name for name in sources if name.endswith(".py")]:
            source_file.write_bytes(sources[name])
            py_compile.compile(
                str(source_file),
                str(code_file),
                dfile=name,
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
            compiled[name + "c"] = code_file.read_bytes()
    return compiled


def _namespace_packages(names: set[str]) -> dict[str, bytes]:
    """Return an empty ``__init__.py`` for each folder that is a package without one.

    Examples:
        >>> _namespace_packages({"zope/event/__init__.py", "a/__init__.py"})
        {'zope/__init__.py': b''}
    """
    packages = {PurePosixPath(name).parent for name in names if name.endswith("__init__.py")}
    parents = {str(package.parent / "__init__.py") for package in packages if package.parent.name}
    return dict.fromkeys(sorted(parents - names), b"")


def _contents() -> dict[str, bytes]:
    """Return the archive's files: sources of the program only, byte code of everything."""
    program = {"__main__.py": START_MODULE.read_bytes()} | _program_files()
    libraries: dict[str, bytes] = {}
    for distribution in closure(_required_names()):
        libraries |= _library_files(distribution)
    libraries |= _namespace_packages(set(libraries))
    data = {name: content for name, content in libraries.items() if not name.endswith(".py")}
    return program | _program_metadata() | data | _compiled(program) | _compiled(libraries)


def build(target: Path) -> int:
    """Write the executable file and return its size in bytes; equal input gives equal bytes."""
    archive = io.BytesIO()
    with zipfile.ZipFile(archive, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as packed:
        for name, content in sorted(_contents().items()):
            info = zipfile.ZipInfo(name, TIMESTAMP)
            info.compress_type = zipfile.ZIP_DEFLATED
            packed.writestr(info, content)
    target.parent.mkdir(parents=True, exist_ok=True)
    partial = target.with_suffix(".partial")
    partial.write_bytes(f"#!{INTERPRETER}\n".encode() + archive.getvalue())
    partial.chmod(EXECUTABLE_MODE)
    os.replace(partial, target)
    return target.stat().st_size


def main() -> int:
    """Build the file and return the exit status."""
    size_bytes = build(TARGET)
    print(f"{TARGET.relative_to(ROOT)}: {size_bytes} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
