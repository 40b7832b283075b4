#!/bin/sh
# One engine of three sends a stream whose first event never ends, in tiny chunks.
cd "$(dirname "$0")" && exec node run.mjs
