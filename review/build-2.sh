#!/usr/bin/env bash
# The stand-ins of the script of case 6 need Python 3.11 or newer and nothing
# else: this checks that it is there and that they compile. The other cases are
# days for the bench.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' 6/run.py
