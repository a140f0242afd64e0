#!/bin/sh
# Builds what the cases 6 to 10 need beside the deploy build: the byte code of their stand-ins. No network is used.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins-2
