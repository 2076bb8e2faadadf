#!/bin/sh
# Builds the stand-ins of the cases review/7 to review/10, after the build of deploy/balancer.toml.
# They are Python of the standard library alone, so that building them is compiling them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml"; exit 2; }
.venv/bin/python - <<'END'
import sys
import tomllib  # Python 3.11 or later
from pathlib import Path

files = [Path("review/rig2/rig.py"), *sorted(Path("review").glob("[0-9]*/case.py"))]
mine = [file for file in files if file.parent.name in ("rig2", "7", "8", "9", "10")]
for file in mine:
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
print(f"{len(mine)} stand-ins and cases compile with Python {sys.version.split()[0]}")
END
