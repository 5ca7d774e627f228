#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
# Cases 6 and 7 are days for the bench and start none.
set -euo pipefail
