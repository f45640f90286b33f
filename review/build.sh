#!/bin/sh
# Builds every stand-in that a script of the review starts. They are Python and need
# only what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
test -e target/deps/heathercleat/__init__.py || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 - <<'END'
import ast
from pathlib import Path

import standins.table_store  # noqa: F401

for path in Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
END
