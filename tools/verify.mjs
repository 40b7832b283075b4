/** Installs, builds, checks types, format and lint, and runs all tests. */
import {install, step} from './steps.mjs';

install();
step('build', 'npm', 'run', '--silent', 'build');
step('documents', process.execPath, 'dist/document.js', '--check');
step('lint', 'npm', 'run', '--silent', 'lint');
step('test', 'npm', 'run', '--silent', 'test');
