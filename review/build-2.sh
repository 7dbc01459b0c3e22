#!/bin/sh
# Builds what the cases of the second review start, on top of the build line of the deploy file:
# the SQL router's packages. The stand-ins in `review/common_2` are Python without packages.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-router.txt
.venv/bin/python -m compileall -q review/common_2 tansycrank
