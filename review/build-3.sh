#!/bin/sh
# Prepares the scripts of review/11 to 15 after the build of the deploy file. Their
# stand-ins are those of review/standins_3, which need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - standins_3/*.py 1[1-5]/*.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
END
test -d ../target/deps
