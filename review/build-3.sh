#!/bin/sh
# Checks the stand-ins and scripts of the third review, which need no build.
cd "$(dirname "$0")/.." || exit 1
for file in review/support-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file" || exit 1
done
