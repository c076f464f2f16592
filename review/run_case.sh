#!/usr/bin/env bash
# Runs the script of a case, whose folder is the argument, with the packages of the deploy file.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.callers" || exit 2
exec timeout -s INT -k 5 115 python3 "$folder/run.py"
