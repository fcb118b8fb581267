#!/bin/sh
# The stand-ins of cases 6 to 10 are plain Node.js scripts: nothing has to be
# compiled. This checks that they can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/standin-2/*.mjs; do
  node --check "$file"
done
