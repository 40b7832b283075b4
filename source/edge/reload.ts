/** Which settings take effect when a running host reads them again. */
import {isDeepStrictEqual} from 'node:util';

import type {EdgeSettings} from './settings.js';

/** A setting that can change, by its name. */
export type SettingName = keyof EdgeSettings;

/** When a changed setting takes effect. */
type Effect = 'at-reload' | 'at-restart';

/** Each setting of the schema; the compiler asks for those that are missing. */
const EFFECTS: Readonly<Record<SettingName, Effect>> = {
  name: 'at-restart',
  zone: 'at-restart',
  regions: 'at-restart',
  callers: 'at-restart',
  readiness: 'at-restart',
  hosts: 'at-restart',
  metrics: 'at-restart',
  store: 'at-restart',
  leader: 'at-restart',
  seeds: 'at-reload',
  graceMilliseconds: 'at-reload',
  repeats: 'at-reload',
  usage: 'at-restart',
  drainMilliseconds: 'at-restart',
  leaseMilliseconds: 'at-restart',
  rollouts: 'at-restart',
  memoryMegabytes: 'at-restart',
  balancesByRates: 'at-restart',
  maxDescriptors: 'at-restart',
};

/** What changes when settings are read again. */
export interface ReloadPlan {
  /** Settings that have changed and take effect now. */
  readonly applied: readonly SettingName[];
  /** Settings that have changed and take effect when the process starts again. */
  readonly deferred: readonly SettingName[];
  /** The settings that are in force after the reload. */
  readonly settings: EdgeSettings;
}

/**
 * Compares the settings in force with those that were read again.
 *
 * ```ts
 * const {applied, deferred} = planReload(settings, readSettings());
 * ```
 */
export function planReload(
  before: EdgeSettings,
  read: EdgeSettings,
): ReloadPlan {
  const names = Object.keys(EFFECTS) as SettingName[];
  const changed = names.filter(
    name => !isDeepStrictEqual(before[name], read[name]),
  );
  const applied = changed.filter(name => EFFECTS[name] === 'at-reload');
  const deferred = changed.filter(name => EFFECTS[name] === 'at-restart');
  const taken = applied.map(name => [name, read[name]] as const);
  const settings = {...before, ...Object.fromEntries(taken)};
  return {applied, deferred, settings};
}
