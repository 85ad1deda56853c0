#!/bin/sh
# Builds the stand-ins that the scripts of this review start; run it after the build of the deploy
# file. They are Python programs: nothing is compiled but their byte code, and nothing is fetched.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH="target/deps:.:review/common-2" python3 - <<'EOF'
import importlib
import sys

sys.dont_write_bytecode = True
for name in ("standins.pool.store", "standins.pool.server", "model_server", "deployment", "service"):
    importlib.import_module(name)
print("the stand-ins are there")
EOF
