/** All steps of the scenarios. */
import {CALLERS, GIVEN} from './callers.js';
import {CHECKS} from './checks.js';
import {FAULTS} from './faults.js';
import type {Step} from './step.js';

export const STEPS: readonly Step[] = [
  ...GIVEN,
  ...CALLERS,
  ...FAULTS,
  ...CHECKS,
];
