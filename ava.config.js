export default {
  files: ['test/**/*.test.ts'],
  extensions: {ts: 'module'},
  nodeArguments: ['--import=tsx'],
  require: ['./test/support/exit.js'],
  workerThreads: false,
  timeout: '300s',
  concurrency: 4,
};
