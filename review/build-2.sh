#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateway. It runs after the build of the deploy file and needs no
# network: the stand-ins are Python files of `lib2` and of the cases, on the standard library of the gateway's Python.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/lib2 review/[6-9] review/10
