/**
 * The folder that a run of the tests leaves where tests have failed: for each its
 * report with its log (so the seed), and what its processes wrote.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Environment variable by which the runner names the folder to its tests. */
export const FOLDER_VARIABLE = 'ARBUTUSSLIP_FAILURES';
/** Not under version control. Used by tests that are run without the runner. */
const DEFAULT_FOLDER = 'build/failures/alone';
/** Names of files may have 255 bytes; a number and an extension are added. */
const MAX_NAME_LENGTH = 180;

let kept = 0;

/** Returns the folder of a run that starts now. */
export function failuresFolder(now: Date): string {
  return join('build/failures', now.toISOString().replaceAll(':', '-'));
}

/**
 * Writes a file into the folder of this run, and returns its path. The name is
 * that of the test, with an extension.
 *
 * ```ts
 * const path = keepFailure('edge › a host starts.jsonl', lines);
 * ```
 */
export function keepFailure(name: string, text: string): string {
  const folder = process.env[FOLDER_VARIABLE] ?? DEFAULT_FOLDER;
  const [, title = name, extension = ''] = /^(.*)(\.\w+)$/.exec(name) ?? [];
  const plain = title.replaceAll(/[^A-Za-z0-9]+/g, '-');
  const short = plain.slice(0, MAX_NAME_LENGTH);
  const path = join(folder, `${short}-${process.pid}-${kept++}${extension}`);
  mkdirSync(folder, {recursive: true});
  writeFileSync(path, text);
  return path;
}

/** Gathers the reports of failed tests from lines of the Test Anything Protocol. */
export class FailureReports {
  /** The lines of each failed test, its title first. */
  readonly reports: string[][] = [];
  private current: string[] | undefined;

  /** Takes in a line. */
  take(line: string): void {
    if (/^(ok|not ok) /.test(line)) {
      this.current = line.startsWith('not ok') ? [] : undefined;
      if (this.current) this.reports.push(this.current);
    }
    this.current?.push(line);
  }
}
