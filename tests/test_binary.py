"""Tests of the single-file program that ``tools/build_binary.py`` builds."""

import subprocess
import sys
from pathlib import Path

import pytest

from standins.demo import demo_text
from standins.fleet import ROOT, Fleet


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "heathercleat"
    command = [sys.executable, str(ROOT / "tools" / "build_binary.py"), str(path)]
    subprocess.run(command, check=True, capture_output=True)
    return path


def test_build_of_the_binary_is_reproducible(binary, tmp_path):
    again = tmp_path / "again"
    command = [sys.executable, str(ROOT / "tools" / "build_binary.py"), str(again)]
    subprocess.run(command, check=True, capture_output=True)
    assert again.read_bytes() == binary.read_bytes()


def test_binary_runs_without_other_files(binary, tmp_path):
    example = ROOT / "examples" / "agencia.jsonc"
    command = [sys.executable, "-I", str(binary), "check", str(example)]
    result = subprocess.run(command, capture_output=True, text=True, cwd=tmp_path)
    assert "no findings" in result.stdout


def test_binary_serves_without_child_processes_or_written_files(binary):
    program = [sys.executable, "-I", str(binary)]
    with Fleet(demo_text(), {"north-a": 1}, program, subnet=28) as fleet:
        fleet.wait_ready()
        vm = fleet.vms["north-a-1"]
        pid = vm.process.pid
        assert not Path(f"/proc/{pid}/task/{pid}/children").read_text()
        opened = [link.readlink() for link in Path(f"/proc/{pid}/fd").iterdir()]
        written = [path for path in opened if str(path).startswith("/tmp")]
        assert set(written) <= {fleet.folder / f"{vm.name}.log", binary}
