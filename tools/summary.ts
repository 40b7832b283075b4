/** What came of a quickstart, as a table. */
import * as z from 'zod';

import type {Deployment} from './deployments.js';
import {ask, type Fleet} from './fleet.js';
import type {Result} from './traffic.js';

const ledgerSchema = z.object({
  entries: z.array(z.object({idempotencyKey: z.string()})),
});

/** The entries of all services' ledgers, and how many stand there twice. */
export interface LedgerCount {
  readonly entries: number;
  readonly doubled: number;
}

/** Counts the entries that the plain services have made. */
export async function ledgerEntries(fleet: Fleet): Promise<LedgerCount> {
  const keys: string[] = [];
  for (const {address} of fleet.endpoints.values()) {
    const parsed = ledgerSchema.safeParse(await ask(address, 'GET', '/ledger'));
    if (!parsed.success) continue;
    for (const {idempotencyKey} of parsed.data.entries)
      keys.push(idempotencyKey);
  }
  return {entries: keys.length, doubled: keys.length - new Set(keys).size};
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return (
    sorted[Math.min(Math.floor(share * sorted.length), sorted.length - 1)] ?? 0
  );
}

/** Prints the table; answers whether the ledger agrees with the answers. */
export function printTable(
  {classes}: Deployment,
  results: readonly Result[],
  ledger: LedgerCount,
  say: (text: string) => void,
): boolean {
  const rows = [
    [
      'class',
      'requests',
      'served',
      'attained',
      'first p50',
      'first p95',
      'between p95',
      'refusals',
    ],
  ];
  for (const found of classes) rows.push(rowOf(found, results));
  for (const row of rows) {
    say(row.map((cell, index) => cell.padEnd(index === 0 ? 12 : 11)).join(' '));
  }
  const accepted = results.filter(({ok, once}) => ok && once).length;
  const unknown = results.filter(
    ({ok, once, outcome}) => !ok && once && outcome !== 'not-run',
  ).length;
  say(
    `ledger: ${ledger.entries} entries, ${accepted} accepted, ` +
      `${unknown} of unknown outcome, ${ledger.doubled} doubled`,
  );
  const {entries, doubled} = ledger;
  return doubled === 0 && entries >= accepted && entries <= accepted + unknown;
}

function rowOf(
  found: Deployment['classes'][number],
  results: readonly Result[],
): string[] {
  const {name, firstTokenTarget = 1600, betweenTokensTarget = 68} = found;
  const mine = results.filter(({className}) => className === name);
  const withdrawn = (result: Result) => result.code === 'key-withdrawn';
  const due = mine.filter(result => !withdrawn(result));
  const served = due.filter(({ok}) => ok);
  const attained = served.filter(
    ({first, between}) =>
      first <= firstTokenTarget && between <= betweenTokensTarget,
  );
  const firsts = served.map(({first}) => first);
  const betweens = served.map(({between}) => between);
  return [
    name,
    String(mine.length),
    String(served.length),
    `${((100 * attained.length) / Math.max(due.length, 1)).toFixed(1)} %`,
    `${percentile(firsts, 0.5).toFixed(0)} ms`,
    `${percentile(firsts, 0.95).toFixed(0)} ms`,
    `${percentile(betweens, 0.95).toFixed(1)} ms`,
    refusalsOf(mine),
  ];
}

function refusalsOf(results: readonly Result[]): string {
  const counts = new Map<string, number>();
  for (const {code} of results) {
    if (code !== '') counts.set(code, (counts.get(code) ?? 0) + 1);
  }
  return (
    [...counts].map(([code, count]) => `${code}:${count}`).join(' ') || '-'
  );
}
