#!/bin/sh
# Checks that everything which the cases 6 to 10 start is there. Their stand-ins are Python scripts of the standard library, so
# there is nothing to compile; the programs are those that the deploy file's build leaves in target/release.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.8 or later is needed") if sys.version_info < (3, 8) else None'
for file in review/lab/*.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -x target/release/harrierdock ] || { echo "target/release/harrierdock is missing: run the deploy file's build" >&2; exit 1; }
