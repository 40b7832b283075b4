/** What the users' platform reads of the project. */
import {readFileSync} from 'node:fs';

const DEPLOY_FILE = 'deploy/system.toml';

/** The flags of Node in the command of the deploy file. */
export function deployNodeFlags(): readonly string[] {
  const [, run = ''] =
    /^run = "(.*)"$/m.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  const [, ...words] = run.split(' ');
  const program = words.findIndex(word => !word.startsWith('-'));
  return words.slice(0, program);
}
