/** `arbutusslip release`: check, publish, follow and show release notes. */
import {defineCommand} from 'citty';

import {SystemClock} from '../clock/index.js';
import {snapshotOf} from '../configuration/index.js';
import {follow, OperatorError, readLog, verdictOf} from '../operator/index.js';
import {
  commonArguments,
  describe,
  IN_FORCE_MILLISECONDS,
  platformOf,
  publishAndFollow,
  readNote,
  report,
} from './common.js';

const fileArgument = {
  type: 'positional',
  description: 'File of the release note (JSON).',
  required: true,
} as const;

const check = defineCommand({
  meta: {name: 'check', description: 'Say what would become of a note.'},
  args: {file: fileArgument, ...commonArguments},
  run: ({args}) =>
    report(args, async () => {
      const note = await readNote(args.file);
      const fold = await readLog(platformOf(args));
      const verdict = verdictOf(fold, note);
      const line = describe({offset: fold.next, verdict});
      const failed = verdict.kind === 'rejected';
      return {
        value: {id: note.id, verdict},
        lines: [`would be ${line}`],
        failed,
      };
    }),
});

const publish = defineCommand({
  meta: {name: 'publish', description: 'Publish a note and follow it.'},
  args: {file: fileArgument, ...commonArguments},
  run: ({args}) =>
    report(args, async () =>
      publishAndFollow(platformOf(args), await readNote(args.file)),
    ),
});

const followNote = defineCommand({
  meta: {
    name: 'follow',
    description: 'Name the hosts where a note is in force.',
  },
  args: {
    id: {type: 'positional', description: 'Id of the note.', required: true},
    ...commonArguments,
  },
  run: ({args}) =>
    report(args, async () => {
      const platform = platformOf(args);
      const {configuration} = await readLog(platform);
      const offset = configuration.decided.get(args.id);
      if (offset === undefined) {
        throw new OperatorError('missing', `no note ${args.id}`);
      }
      const clock = new SystemClock();
      const bound = IN_FORCE_MILLISECONDS;
      const following = await follow(platform, offset, bound, clock);
      const {inForce, lagging} = following;
      return {
        value: {id: args.id, offset, ...following},
        lines: [
          `in force on: ${inForce.join(', ')}`,
          `not yet on: ${lagging.join(', ')}`,
        ],
        failed: lagging.length > 0,
      };
    }),
});

const show = defineCommand({
  meta: {name: 'show', description: 'Show the configuration in force.'},
  args: commonArguments,
  run: ({args}) =>
    report(args, async () => {
      const {configuration} = await readLog(platformOf(args));
      const value = snapshotOf(configuration);
      return {value, lines: [JSON.stringify(value, undefined, 2)]};
    }),
});

export const releaseCommand = defineCommand({
  meta: {name: 'release', description: 'Release notes.'},
  subCommands: {check, publish, follow: followNote, show},
});
