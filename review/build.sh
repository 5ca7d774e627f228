#!/usr/bin/env bash
# The stand-ins of the scripts need Python 3.11 or newer and nothing else: this
# checks that it is there and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in lib/*.py [0-9]*/run.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
