/** Bundles programs, so that they load little and start fast. */
import {build} from 'esbuild';

/** Leaves out the messages of zod in other languages, a third of a program. */
const withoutLocales = {
  name: 'without-locales',
  setup({onResolve, onLoad}) {
    const filter = /locales\/index\.js$/;
    onResolve({filter}, ({path, importer}) =>
      importer.includes('zod') ? {path, namespace: 'no-locales'} : undefined,
    );
    onLoad({filter: /.*/, namespace: 'no-locales'}, () => ({
      contents: 'export {};',
    }));
  },
};

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
    plugins: [withoutLocales],
    external: ['unix-dgram', 'cbor-extract'],
    banner: {
      js: "import {createRequire as createRequireHere} from 'node:module';const require=createRequireHere(import.meta.url);",
    },
    logLevel: 'warning',
  });
}
