#!/bin/sh
# The stand-ins of the cases are plain modules in stand-in/ that Node.js runs as they are.
set -e
cd "$(dirname "$0")"
for file in stand-in/*.mjs */case.mjs; do node --check "$file"; done
