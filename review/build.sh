#!/bin/sh
# Builds the stand-ins that the scripts start: Python sources without
# dependencies, which run in the process of each script.
cd "$(dirname "$0")" || exit 1
python3 -m compileall -q common 1 2 3
