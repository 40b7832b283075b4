#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/11/run.mjs
