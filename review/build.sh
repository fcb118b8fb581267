#!/bin/sh
# The stand-ins of the scripts are plain modules of Node.js in review/standin/:
# nothing has to be compiled. This checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in standin/*.mjs */run.mjs; do node --check "$file"; done
