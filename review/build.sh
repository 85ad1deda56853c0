#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, so each is compiled and imported with
# what the build of the deploy file has installed. Needs no network.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'PROGRAM'
import glob
import importlib

for name in ("standins.pool.store", "loomwind.cli", "loomwind.serving.daemon"):
    importlib.import_module(name)
for path in glob.glob("review/*/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("the stand-ins of the cases are ready")
PROGRAM
