"""Build ``dist/camphorchute``: a single executable file with the program and its libraries.

The file is a zip archive that the Python interpreter runs. Extension modules cannot be imported
from an archive, so :mod:`bench.binary_start` loads them from memory.
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

__all__ = ["build", "dependency_closure", "main"]

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "camphorchute"
START_MODULE = ROOT / "bench" / "binary_start.py"
INTERPRETER_COMMAND = "/usr/bin/env -S python3.11 -IS"
PROGRAM = "camphorchute"
EXECUTABLE_MODE = 0o755
ARCHIVE_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
EXCLUDED_PATH_PARTS = frozenset({"tests", "testing", "test", "__pycache__", "deps"})
EXCLUDED_SUFFIXES = frozenset({".pyc", ".pyi", ".pyx", ".pxd", ".c", ".cpp", ".h", ".hpp"})
OUTSIDE_SITE_PACKAGES_PREFIX = "../"


def dependency_closure(names: list[str]) -> list[metadata.Distribution]:
    """Return the named distributions and all their dependencies, sorted by name.

    Args:
        names: names of installed distributions, in any spelling.

    Raises:
        importlib.metadata.PackageNotFoundError: a distribution is not installed.

    Examples:
        >>> [d.metadata["Name"] for d in dependency_closure(["msgspec"])]
        ['msgspec']
    """
    distributions: dict[str, metadata.Distribution] = {}
    pending = list(names)
    while pending:
        name = pending.pop().lower().replace("_", "-").replace(".", "-")
        if name in distributions:
            continue
        distributions[name] = metadata.distribution(name)
        pending += _required_by(distributions[name])
    return [distributions[name] for name in sorted(distributions)]


def _required_by(distribution: metadata.Distribution) -> list[str]:
    """Return the names of the direct dependencies, without those of extras."""
    requirements = [Requirement(text) for text in distribution.requires or []]
    return [r.name for r in requirements if r.marker is None or r.marker.evaluate({"extra": ""})]


def _library_files(distribution: metadata.Distribution) -> dict[str, bytes]:
    """Return the contents of the files of a distribution that are needed at run time."""
    paths = [path for path in distribution.files or [] if _is_shipped(path)]
    return {path.as_posix(): path.read_binary() for path in paths}


def _is_shipped(path: PurePosixPath) -> bool:
    if path.as_posix().startswith(OUTSIDE_SITE_PACKAGES_PREFIX) or path.suffix in EXCLUDED_SUFFIXES:
        return False
    return not EXCLUDED_PATH_PARTS.intersection(path.parts)


def _program_files() -> dict[str, bytes]:
    """Return the contents of the Python sources of the program, by path in the archive."""
    paths = [path.relative_to(ROOT) for path in sorted((ROOT / PROGRAM).rglob("*.py"))]
    return {path.as_posix(): (ROOT / path).read_bytes() for path in paths if _is_shipped(path)}


def _program_metadata() -> dict[str, bytes]:
    """Return the metadata file in which ``importlib.metadata`` finds the program's version."""
    project = (ROOT / "pyproject.toml").read_text()
    version = re.search(r'^version = "(.+)"$', project, re.MULTILINE)[1]
    text = f"Metadata-Version: 2.1\nName: {PROGRAM}\nVersion: {version}\n"
    return {f"{PROGRAM}-{version}.dist-info/METADATA": text.encode()}


def _required_names() -> list[str]:
    """Return the names of the dependencies in ``pyproject.toml``."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return [Requirement(text).name for text in project["dependencies"]]


def _compile_sources(sources: dict[str, bytes]) -> dict[str, bytes]:
    """Return the bytecode of Python sources, so that they are not compiled at each start."""
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
    """Return an empty ``__init__.py`` for each parent folder of a package that has none.

    Examples:
        >>> _namespace_packages({"zope/event/__init__.py", "a/__init__.py"})
        {'zope/__init__.py': b''}
    """
    packages = {PurePosixPath(name).parent for name in names if name.endswith("__init__.py")}
    parents = {str(package.parent / "__init__.py") for package in packages if package.parent.name}
    return dict.fromkeys(sorted(parents - names), b"")


def _archive_contents() -> dict[str, bytes]:
    """Return the files of the archive: bytecode of all modules, sources of the program only."""
    program = {"__main__.py": START_MODULE.read_bytes()} | _program_files()
    libraries: dict[str, bytes] = {}
    for distribution in dependency_closure(_required_names()):
        libraries |= _library_files(distribution)
    libraries |= _namespace_packages(set(libraries))
    data = {name: content for name, content in libraries.items() if not name.endswith(".py")}
    return (
        program
        | _program_metadata()
        | data
        | _compile_sources(program)
        | _compile_sources(libraries)
    )


def build(target: Path) -> int:
    """Write the executable file and return its size in bytes.

    The build is reproducible: equal input gives equal bytes. The file is replaced atomically.

    Args:
        target: path of the executable file.
    """
    archive = io.BytesIO()
    with zipfile.ZipFile(archive, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as archive_file:
        for name, content in sorted(_archive_contents().items()):
            info = zipfile.ZipInfo(name, ARCHIVE_TIMESTAMP)
            info.compress_type = zipfile.ZIP_DEFLATED
            archive_file.writestr(info, content)
    target.parent.mkdir(parents=True, exist_ok=True)
    partial_file = target.with_suffix(".partial")
    partial_file.write_bytes(f"#!{INTERPRETER_COMMAND}\n".encode() + archive.getvalue())
    partial_file.chmod(EXECUTABLE_MODE)
    os.replace(partial_file, target)
    return target.stat().st_size


def main() -> int:
    """Build the executable file, print its size and return the exit status."""
    size_bytes = build(TARGET)
    print(f"{TARGET.relative_to(ROOT)}: {size_bytes} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
