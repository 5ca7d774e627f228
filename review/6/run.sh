#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if not run.
# TROUBLE=0 plays the same without the drill of the store.
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/run.py"
