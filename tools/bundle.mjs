/** Bundles programs, so that they load little and start fast. */
import {build} from 'esbuild';

/** Bundles entry points, by the name of their program, into a folder. */
export function bundle(entryPoints, outdir) {
  return build({
    entryPoints,
    outdir,
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
}
