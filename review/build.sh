#!/bin/sh
# Builds the stand-ins of the cases: they need no more than Python's standard library, so
# that is a check that they compile.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]/play.py
