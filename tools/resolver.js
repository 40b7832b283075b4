import {existsSync} from 'node:fs';
import {dirname, resolve} from 'node:path';

/** Resolves `./module.js` to the TypeScript source that it is built from. */
export function createSourceFileResolver() {
  return {
    name: 'typescript-source',
    interfaceVersion: 3,
    resolve(specifier, file) {
      if (!specifier.startsWith('.')) return {found: false};
      const path = resolve(dirname(file), specifier).replace(/\.js$/, '.ts');
      return existsSync(path) ? {found: true, path} : {found: false};
    },
  };
}
