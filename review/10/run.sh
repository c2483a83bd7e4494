#!/bin/sh
# 1: the rule of claim.txt was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/10/case.py
