#!/bin/sh
# Builds .venv from pinned requirements with hashes, once for each change of
# them, of the kind of machine or of Python, and puts the workspace's libraries
# on its path.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.stamp
wanted=$(python3 tools/stamps.py requirements/dev.txt)
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$wanted" ]; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip install --quiet --quiet --disable-pip-version-check \
        --require-hashes --no-deps -r requirements/dev.txt
    echo "$wanted" > "$stamp"
fi
site=$(.venv/bin/python -c \
    'import sysconfig; print(sysconfig.get_path("purelib"))')
for library in libs/*/ platform/; do
    echo "$PWD/${library%/}"
done > "$site/vanillayoke-workspace.pth"
