/**
 * What a run of the tests comes to. A known red entry excuses the failure of
 * the test that bears exactly its title, in a run that came to its end; it
 * excuses no crash, no failure outside the tests and no other title.
 */

const RED = 'test: ';
/** Exit code of a run that ended with failures. */
const FAILURES = 1;

/** The titles that the text of KNOWN-RED.txt excuses. */
export function knownTitles(text: string): readonly string[] {
  return text
    .split('\n')
    .filter(line => line.startsWith(RED))
    .map(line => line.slice(RED.length).trim());
}

/** Gathers a run from its lines in the Test Anything Protocol. */
export class Run {
  passed = 0;
  readonly known: string[] = [];
  readonly failed: string[] = [];
  private planned: number | undefined;
  private counted: number | undefined;

  constructor(private readonly titles: readonly string[]) {}

  /** Takes in a line; answers whether it belongs in the printed report. */
  take(line: string): boolean {
    const [, result, title = ''] = /^(ok|not ok) \d+ - (.*)$/.exec(line) ?? [];
    if (result) this.note(result === 'ok', title);
    const [, plan] = /^1\.\.(\d+)$/.exec(line) ?? [];
    if (plan) this.planned = Number(plan);
    const [, fail] = /^# fail (\d+)$/.exec(line) ?? [];
    if (fail) this.counted = Number(fail);
    return !/^(TAP|\d+\.\.\d+|#)/.test(line);
  }

  /** The exit code of the runner, from that of the run. */
  verdict(code: number | null): number {
    const red = this.known.length;
    if (code === 0) return this.failed.length + red === 0 ? 0 : FAILURES;
    const whole =
      this.planned === this.passed + red && this.counted === red && red > 0;
    return whole && code === FAILURES ? 0 : FAILURES;
  }

  private note(passes: boolean, title: string): void {
    if (passes) this.passed++;
    else if (this.titles.includes(title)) this.known.push(title);
    else this.failed.push(title);
  }
}
