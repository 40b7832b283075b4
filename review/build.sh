#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network: esbuild is
# installed by the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
node --input-type=module -e "
import {build} from 'esbuild';
await build({
  entryPoints: {site: 'standins/site.ts'},
  outdir: 'target/review',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
});"
