#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs (review/standins/, and tests/soak/http11.py and
# tests/soak/platform_side.py of the project), so that there is nothing to compile: this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer"'
for source in standins/*.py ?/case.py ../tests/soak/http11.py ../tests/soak/platform_side.py; do
  [ ! -e "$source" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
