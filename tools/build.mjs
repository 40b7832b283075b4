/** Bundles the programs into dist/, so that they load little and start fast. */
import {build} from 'esbuild';

const programs = {
  arbutusslipd: 'source/daemon/main.ts',
  arbutusslip: 'source/command/main.ts',
  quickstart: 'tools/quickstart.ts',
  control: 'tools/control.ts',
  measure: 'tools/measure.ts',
  document: 'tools/document.ts',
  cost: 'tools/cost.ts',
  'standin-fast': 'standins/fast.ts',
  'standin-platform': 'standins/platform.ts',
  'standin-engine': 'standins/engine.ts',
  'standin-service': 'standins/service.ts',
};

await build({
  entryPoints: programs,
  outdir: 'dist',
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: false,
  external: ['unix-dgram', 'cbor-extract'],
  banner: {
    js: "import {createRequire as createRequireHere} from 'node:module';const require=createRequireHere(import.meta.url);",
  },
  logLevel: 'warning',
});
