#!/bin/sh
# Builds the stand-ins of the review: Python programs that need the standard library alone, run by the deploy build's
# interpreter. Compiling them shows that each can be read.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins review/1 review/2 review/3
