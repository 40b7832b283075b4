/** Seeds of soaks that have failed once, each with its cause. */

import type {SoakOptions} from './soak.js';

/** A seed that is played again in CI. */
export interface Regression {
  readonly seed: number;
  /** The size at which it failed; that of the CI run where it is absent. */
  readonly size?: Omit<SoakOptions, 'seed'>;
  readonly cause: string;
}

const MACHINE_SIZE = {
  hosts: 2,
  endpoints: 3,
  callers: 2,
  lasts: 5_000,
  hasMachineFaults: true,
};

export const REGRESSIONS: readonly Regression[] = [
  {
    seed: 142,
    // Its faults are others since callers draw random numbers of their own.
    cause: 'a signal to reload ended a host that was still loading',
  },
  {
    seed: 2043,
    cause: 'the proxy let later bytes overtake those that it delayed',
  },
  {
    seed: 6010,
    size: {hosts: 4, endpoints: 4, callers: 3, lasts: 12_000},
    cause: 'a host exited on a request that came as it stored its usage',
  },
  {
    seed: 20261208,
    size: MACHINE_SIZE,
    cause: 'SIGTERM ended a host that was still starting',
  },
  {
    seed: 20261253,
    size: MACHINE_SIZE,
    cause: 'a host whose port was taken at its start never became ready',
  },
];
