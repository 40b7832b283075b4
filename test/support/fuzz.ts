/** How the fuzz tests run: a fixed seed that is printed, or new ones. */
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';

const SEED = 20261204;

/** Parameters of a run; `FUZZ_SEED` and `FUZZ_RUNS` replace them. */
export function parameters(runs: number): {seed: number; numRuns: number} {
  const seed = Number(process.env['FUZZ_SEED'] ?? SEED);
  const factor = Number(process.env['FUZZ_RUNS'] ?? 1);
  return {seed, numRuns: Math.round(runs * factor)};
}

/** Checks a property and prints the seed, and the shrunk case if it fails. */
export function holds<T>(
  t: ExecutionContext,
  property: fc.IProperty<T>,
  runs: number,
): void {
  const chosen = parameters(runs);
  t.log(`seed ${chosen.seed}, ${chosen.numRuns} runs`);
  const details = fc.check(property, chosen);
  if (details.failed) t.log(fc.defaultReportMessage(details));
  t.false(details.failed);
}

/** Checks that a property is seen to fail, with a fault planted. */
export function isSeenToFail<T>(
  t: ExecutionContext,
  property: fc.IProperty<T>,
  runs: number,
): void {
  const details = fc.check(property, {...parameters(runs), endOnFailure: true});
  t.true(details.failed, 'the check does not notice the planted fault');
}
