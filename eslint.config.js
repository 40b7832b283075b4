import {createRequire} from 'node:module';
import importX from 'eslint-plugin-import-x';
import {createNodeResolver} from 'eslint-plugin-import-x';
import {createSourceFileResolver} from './tools/resolver.js';

const require = createRequire(import.meta.url);
const gts = require('gts');

export default [
  {ignores: ['dist/', 'build/', 'target/', 'journal/', 'node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    plugins: {'import-x': importX},
    settings: {
      'import-x/resolver-next': [
        createSourceFileResolver(),
        createNodeResolver({extensions: ['.ts', '.js']}),
      ],
      'import-x/parsers': {'@typescript-eslint/parser': ['.ts']},
    },
    rules: {
      'import-x/no-cycle': ['error', {ignoreExternal: true}],
      'import-x/no-default-export': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: '^\\.\\./(?:[a-z]+/)+(?!index\\.js$)[a-z]+\\.js$',
              message: 'Import a folder through its index.ts only.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['source/**'],
    ignores: ['source/edge/start.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: '^\\.\\./\\.\\./platform/',
              message: 'Only the start file knows the users’ platform.',
            },
            {
              regex: '^\\.\\./(?:[a-z]+/)+(?!index\\.js$)[a-z]+\\.js$',
              message: 'Import a folder through its index.ts only.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['source/{wire,gossip,engine,forward,peers}/**'],
    ignores: ['source/wire/abandon.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector:
            'CallExpression[callee.property.name="destroy"]:matches(' +
            '[callee.object.name=/^(socket|sent|outgoing|longestIdle)$/],' +
            '[callee.object.property.name="socket"])',
          message:
            'A closed connection still delivers what was written. ' +
            'Give it up with wire/abandon.ts, or say why closing is enough.',
        },
      ],
    },
  },
  {
    files: ['test/**', 'tools/**', 'standins/**', 'soak/**'],
    rules: {'no-restricted-imports': 'off'},
  },
  {
    files: ['**/*.mjs', 'eslint.config.js', 'tools/*.js', 'ava.config.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly', process: 'readonly'},
    },
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-extraneous-import': 'off',
    },
  },
];
