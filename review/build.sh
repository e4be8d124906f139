#!/bin/sh
# The stand-ins are Python 3 with its standard library: nothing is compiled. This checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
