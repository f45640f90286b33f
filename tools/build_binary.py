"""Builds the program as one file: a zip application with all dependencies.

Builds are reproducible: entries are sorted and have a fixed date. The application runs
without unpacking.
"""

import subprocess
import sys
import tempfile
from pathlib import Path
from zipfile import ZIP_DEFLATED, ZipFile, ZipInfo

ROOT = Path(__file__).parent.parent
FIXED_DATE = (2020, 1, 1, 0, 0, 0)
SHEBANG = b"#!/usr/bin/env python3\n"
MAIN = b"from heathercleat.cli import main\n\nmain()\n"
EXECUTABLE = 0o755
#: Suffixes of omitted files. Extension modules cannot be loaded from an archive; the
#: packages have fallbacks in Python.
OMITTED_SUFFIXES = (".so", ".pyc", ".dist-info", "__pycache__", ".pth")


def build(path):
    """Write the executable archive to ``path``."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        _install(folder)
        entries = dict(_entries(Path(folder)))
    entries.update(_entries(ROOT / "src"))
    entries["__main__.py"] = MAIN
    with path.open("wb") as file:
        file.write(SHEBANG)
        with ZipFile(file, "w", ZIP_DEFLATED) as archive:
            for name in sorted(entries):
                info = ZipInfo(name, FIXED_DATE)
                info.compress_type = ZIP_DEFLATED
                archive.writestr(info, entries[name])
    path.chmod(EXECUTABLE)


def _install(folder):
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
    options = ["--disable-pip-version-check", "--no-compile", "--target", folder]
    lock = ["-r", str(ROOT / "requirements.lock")]
    subprocess.run([*command, *options, *lock], check=True)


def _entries(folder):
    """Yield ``(name in the archive, content)`` of the files below a folder."""
    for path in folder.rglob("*"):
        name = path.relative_to(folder).as_posix()
        parts = name.split("/")
        if path.is_dir() or any(part.endswith(OMITTED_SUFFIXES) for part in parts):
            continue
        if parts[0] == "bin":
            continue
        yield name, path.read_bytes()


if __name__ == "__main__":
    build(Path(sys.argv[1]))
