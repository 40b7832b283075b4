#!/bin/sh
# One engine of three sends a body without end, in small chunks.
cd "$(dirname "$0")" && exec node run.mjs
