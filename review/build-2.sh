#!/bin/bash
# Checks what the scripts of cases 6 to 10 need: their stand-ins are Python modules in
# review/standins_2 that use the standard library only.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 2; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed"; exit 2; }
for file in review/standins_2/*.py review/{6,7,8,9,10}/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
