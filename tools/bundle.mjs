/** Bundles programs, so that they load little and start fast. */
import {readdir, rm} from 'node:fs/promises';
import {basename, join} from 'node:path';

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
export async function bundle(entryPoints, outdir) {
  const {metafile} = await build({
    entryPoints,
    outdir,
    metafile: true,
    bundle: true,
    minifySyntax: true,
    splitting: true,
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
  const outputs = Object.keys(metafile.outputs);
  const built = new Set(outputs.map(path => basename(path)));
  await removeOlder(outdir, built);
}

/** Removes the parts of earlier builds, whose names change with their content. */
async function removeOlder(outdir, built) {
  const files = await readdir(outdir);
  const older = files.filter(file => file.endsWith('.js') && !built.has(file));
  await Promise.all(older.map(file => rm(join(outdir, file))));
}
