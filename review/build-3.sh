#!/bin/sh
# Builds the stand-ins and the cases of the third review. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for case in review/1[1-5]/case.ts; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
    --log-level=warning "--outfile=target/review-3/case-$number.mjs"
done
