/** Keeps what a failed soak has shown: its faults, and all that its hosts wrote. */
import {keepFailure} from '../tools/failures.js';

/** What is kept of a soak. */
export interface SoakOutput {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly object[];
  /** All that its hosts wrote. */
  readonly written: readonly object[];
}

/** Writes a file into the folder of failures and returns its path. */
export function keepOutput(output: SoakOutput): string {
  const {seed, faults, violations, written} = output;
  const all = [{seed, faults}, ...violations, ...written];
  const lines = all.map(line => `${JSON.stringify(line)}\n`);
  return keepFailure(`soak seed ${seed}.jsonl`, lines.join(''));
}
