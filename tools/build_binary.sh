#!/bin/sh
# Builds build/vanillayoke, the one file that operators install.
#
# Its contents are the pinned run-time requirements, checked by their hashes,
# and the workspace's libraries that run in an instance: no stand-ins,
# benches or harnesses. Needs python3.11; writes to build/ only.
set -eu
cd "$(dirname "$0")/.."
libraries='core transport settings platform peers programs scheduling cluster
    emulator targets gateway entry node cli'
tools=build/tools
contents=build/contents
output=build/vanillayoke

mkdir -p build
wanted=$(python3.11 tools/stamps.py requirements/build.txt)
if [ "$(cat "$tools/requirements.stamp" 2> /dev/null)" != "$wanted" ]; then
    rm -rf "$tools"
    python3.11 -m venv "$tools"
    "$tools/bin/pip" install --quiet --quiet --disable-pip-version-check \
        --require-hashes --no-deps -r requirements/build.txt
    echo "$wanted" > "$tools/requirements.stamp"
fi
wanted=$(python3.11 tools/stamps.py requirements/run.txt)
if [ "$(cat "$contents.stamp" 2> /dev/null)" != "$wanted" ]; then
    rm -rf "$contents"
    "$tools/bin/pip" install --quiet --quiet --disable-pip-version-check \
        --require-hashes --no-deps --no-compile --target "$contents" \
        -r requirements/run.txt
    echo "$wanted" > "$contents.stamp"
fi
rm -rf "$contents/vanillayoke"
for library in $libraries; do
    cp -R "libs/$library/vanillayoke" "$contents/"
done
cp -R platform/vanillayoke/adapter "$contents/vanillayoke/"
find "$contents" -name __pycache__ -type d -prune -exec rm -rf {} +

# A fixed time in the archive: the same sources give the same file.
SOURCE_DATE_EPOCH=946684800 "$tools/bin/shiv" --site-packages "$contents" \
    --compressed --reproducible --python '/usr/bin/env python3.11' \
    --entry-point vanillayoke.cli.main:main --output-file "$output" \
    > build/shiv.log
ls -l "$output"
