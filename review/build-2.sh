#!/bin/sh
# The stand-ins are those of the earlier review, plain modules in stand-in/ that Node.js runs as they are.
set -e
cd "$(dirname "$0")"
for file in stand-in/*.mjs 6/case.mjs; do node --check "$file"; done
