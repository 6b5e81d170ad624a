#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py "${TROUBLE:-1}"
