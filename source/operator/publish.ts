/**
 * Publishing a release note. The note is judged by the fold, so the tool reads
 * the log to learn the verdict; a lost answer to the append is settled the
 * same way, since a note counts once however often it stands in the log.
 */
import {
  applyNote,
  type NoteVerdict,
  type ReleaseNote,
} from '../configuration/index.js';
import {
  initialLogState,
  applyEntry,
  isComplete,
  type LogState,
} from '../log/index.js';
import type {Platform} from '../platform/index.js';
import {OperatorError} from './failure.js';

/** A note that stands in the log, and what became of it. */
export interface Published {
  readonly offset: number;
  readonly verdict: NoteVerdict;
}

const APPEND_TRIES = 3;

/** The fold of everything in the log. Throws an OperatorError. */
export async function readLog(platform: Platform): Promise<LogState> {
  let fold: LogState | undefined;
  for (;;) {
    const page = await platform.read(fold?.next ?? 0, 0).catch(unreachable);
    fold ??= initialLogState(page.first);
    for (const entry of page.entries) ({state: fold} = applyEntry(fold, entry));
    if (fold.next >= page.end || page.entries.length === 0) break;
  }
  if (isComplete(fold)) return fold;
  throw new OperatorError(
    'undecided',
    'the log holds no snapshot to begin with',
  );
}

function unreachable(error: Error): never {
  throw new OperatorError('log-out-of-reach', error.message);
}

/**
 * What would become of a note if it were published now.
 *
 * ```ts
 * const verdict = verdictOf(await readLog(platform), note);
 * ```
 */
export function verdictOf(fold: LogState, note: ReleaseNote): NoteVerdict {
  return applyNote(fold.configuration, note, fold.next).verdict;
}

/**
 * Appends a note and reads what became of it. Throws an OperatorError.
 *
 * ```ts
 * const {offset, verdict} = await publish(platform, note);
 * ```
 */
export async function publish(
  platform: Platform,
  note: ReleaseNote,
): Promise<Published> {
  for (let tries = 1; ; tries++) {
    try {
      await platform.append([{kind: 'release-note', note}]);
    } catch (error) {
      if (tries === APPEND_TRIES) unreachable(error as Error);
    }
    const published = await findVerdict(platform, note);
    if (published) return published;
    if (tries === APPEND_TRIES) {
      throw new OperatorError('undecided', `note ${note.id} is not in the log`);
    }
  }
}

async function findVerdict(
  platform: Platform,
  note: ReleaseNote,
): Promise<Published | undefined> {
  let fold: LogState | undefined;
  let found: Published | undefined;
  for (;;) {
    const page = await platform.read(fold?.next ?? 0, 0).catch(unreachable);
    fold ??= initialLogState(page.first);
    for (const entry of page.entries) {
      const folded = applyEntry(fold, entry);
      fold = folded.state;
      const {record, verdict} = folded;
      if (record?.kind !== 'release-note' || record.note.id !== note.id)
        continue;
      if (verdict && !found) found = {offset: entry.offset, verdict};
    }
    if (fold.next >= page.end || page.entries.length === 0) break;
  }
  if (found) return found;
  const offset = fold.configuration.decided.get(note.id);
  return offset === undefined
    ? undefined
    : {offset, verdict: {kind: 'repeated'}};
}
