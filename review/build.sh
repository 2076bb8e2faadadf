#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the `build` line of deploy/balancer.toml. They are Python files that need
# the standard library only and run with the deployment's interpreter, so it is enough to check that they compile.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
for file in review/common/*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
