#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start, and checks that they can be imported. They are
# Python modules and need only the packages that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c "import review.deployment, review.callers"
