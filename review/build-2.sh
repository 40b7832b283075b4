#!/bin/sh
# Builds what the scripts of the second review start besides the daemon. Their
# stand-ins are plain modules that need no build, so this only checks that each of
# them can be read by the interpreter.
set -eu
cd "$(dirname "$0")"
for module in support-2/*.mjs */play.mjs; do
  node --check "$module"
done
