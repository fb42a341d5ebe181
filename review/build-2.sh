#!/usr/bin/env bash
# Checks what the scripts of cases 4 and up need. Their stand-ins are Python and need no build; the project's own are not
# used. The entries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
python3 - <<'PYTHON'
import sys
sys.dont_write_bytecode = True
import tomllib  # noqa: F401
import case, deployment, model_servers, platform_store, servers, web  # noqa: E401, F401
PYTHON
for folder in ../4 ../7; do
  (cd "$folder" && python3 -B -c "import standins")
done
