#!/bin/sh
# Prepares the cases after the build of the deploy file. The stand-ins are Python programs that need the standard
# library only, so there is nothing to compile or to fetch; this checks that the interpreter can read all of them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
