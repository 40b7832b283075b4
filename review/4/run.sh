#!/bin/sh
# A part of prompts crashes each engine that begins to write an answer on it.
cd "$(dirname "$0")" && exec node run.mjs
