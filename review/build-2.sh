#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, the project's own among them.
# They are Python: each file is compiled, and each is loaded with the libraries of the deploy file's
# build, which must have run before.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 2; }
export PYTHONPATH=target/deps:.:review
python3 -m py_compile standins/store.py review/stage2.py review/6/strangers.py
for case in 6 7 8 9 10; do
  [ ! -f "review/$case/case.py" ] || python3 -m py_compile "review/$case/case.py"
done
python3 -c "import stage2, standins.store"
echo "built"
