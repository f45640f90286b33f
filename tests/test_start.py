"""VMs start without operator modules; settings and metrics keep their format."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from heathercleat.cli._main import build_parser
from heathercleat.errors import HeathercleatError
from heathercleat.platform.settings import load_node_settings
from heathercleat.steering.process.metrics import SteeringMetrics
from tests.platform_samples import SETTINGS

ROOT = Path(__file__).parent.parent
#: Imports what ``heathercleat steer`` imports and prints the names of loaded modules.
STARTUP_SCRIPT = """
import sys
from heathercleat.cli._main import build_parser
build_parser("steer")
from heathercleat.platform.settings import load_node_settings
from heathercleat.steering.process.node import SteeringNode
print(*sys.modules)
"""


@pytest.fixture(scope="module")
def loaded_modules():
    command = [sys.executable, "-c", STARTUP_SCRIPT]
    result = subprocess.run(command, check=True, capture_output=True, text=True)
    return set(result.stdout.split())


@pytest.mark.parametrize(
    "module",
    [
        "yaml",
        "jsonschema",
        "prometheus_client",
        "heathercleat.cli._client",
        "heathercleat.connection.operator",
        "heathercleat.process.configuration.editing",
        "heathercleat.version.text",
    ],
)
def test_start_of_a_vm_does_not_load_operator_modules(loaded_modules, module):
    assert module not in loaded_modules


@pytest.mark.parametrize("command", ["check", "apply", "trace", "--help", None])
def test_help_of_operator_commands_lists_every_command(command):
    text = build_parser(command).format_help()
    listed = {
        line[4:].split(" ")[0] for line in text.splitlines() if line[:4] == "    "
    }
    assert {"serve", "steer", "check", "drain", "status", "quarantine"} <= listed
    assert "trace" in listed


def test_settings_are_read_from_json(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    assert load_node_settings(str(path)).path == str(path)


def test_settings_template_renders_all_fields():
    assert (ROOT / "deploy" / "settings.json").read_text().strip() == "{{.|json}}"


def test_error_for_invalid_settings_names_the_file(tmp_path):
    path = tmp_path / "node.json"
    path.write_text('{"node": [')
    with pytest.raises(HeathercleatError, match="node.json"):
        load_node_settings(str(path))


def test_metrics_page_has_requests_latencies_and_state():
    metrics = SteeringMetrics(lambda: {"members": 3})
    for seconds in (0.05, 0.06, 7.0):
        metrics.count("read", "in_time", seconds)
    lines = metrics.render().decode().splitlines()
    name = "heathercleat_steered"
    for line in (
        f'{name}_requests_total{{result="in_time",route="read"}} 3.0',
        f'{name}_seconds_bucket{{le="0.05",route="read"}} 1.0',
        f'{name}_seconds_bucket{{le="0.1",route="read"}} 2.0',
        f'{name}_seconds_bucket{{le="5.0",route="read"}} 2.0',
        f'{name}_seconds_bucket{{le="+Inf",route="read"}} 3.0',
        f'{name}_seconds_count{{route="read"}} 3.0',
        'heathercleat_steering_state{name="members"} 3.0',
    ):
        assert line in lines
