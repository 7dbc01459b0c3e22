#!/bin/sh
# Builds what the cases start beside the router. The stand-ins need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q review
