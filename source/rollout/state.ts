/** The durable state of a roll-out, one record per service. */
import * as z from 'zod';

import {placedOrderSchema, type PlacedOrder} from './order.js';

/**
 * `waiting`: no endpoint of the new version is known. `canary`: a small share.
 * `load`: a share at which each of few endpoints bears what it would bear at all
 * traffic. `partial`: a large part, and `full`: all requests but retries after a
 * failure. `closing`: all requests, until no host has one at the old version.
 */
export const phaseSchema = z.enum([
  'waiting',
  'canary',
  'load',
  'partial',
  'full',
  'closing',
  'completed',
  'reverted',
]);
export type RolloutPhase = z.infer<typeof phaseSchema>;

/** The states that the platform is told. */
export type RolloutOutcome = 'running' | 'completed' | 'reverted';

/** Versions that stay excluded, of earlier orders that were not completed. */
const MAX_EXCLUDED_VERSIONS = 8;

export const rolloutStateSchema = z.object({
  order: placedOrderSchema,
  /** Unix milliseconds at which a host first knew the order. */
  orderedAt: z.number(),
  phase: phaseSchema,
  /** Unix milliseconds of the begin of the phase. */
  since: z.number(),
  /** Why the phase began. */
  reason: z.string(),
  /** Requests at the new version, and all of the service, when it was written. */
  sent: z.object({to: z.number(), all: z.number()}),
  /** Other versions that no order allows. */
  excluded: z.array(z.string()).max(MAX_EXCLUDED_VERSIONS),
});
export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** What the platform is told of a phase. */
export function outcomeOf(phase: RolloutPhase): RolloutOutcome {
  if (phase === 'completed' || phase === 'reverted') return phase;
  return 'running';
}

/** Whether a roll-out has ended. */
export function hasEnded({phase}: RolloutState): boolean {
  return outcomeOf(phase) !== 'running';
}

/**
 * The state at the begin of an order. The version of an order before it that was
 * not completed stays excluded.
 */
export function beginRollout(
  order: PlacedOrder,
  before: RolloutState | undefined,
  orderedAt: number,
  now: number,
): RolloutState {
  const earlier = before ? excludedAfter(before) : [];
  return {
    order,
    orderedAt: Math.min(orderedAt, now),
    phase: 'waiting',
    since: now,
    reason: 'ordered',
    sent: {to: 0, all: 0},
    excluded: earlier.filter(version => version !== order.to),
  };
}

function excludedAfter({order, phase, excluded}: RolloutState): string[] {
  if (phase === 'completed') return [];
  return [...new Set([...excluded, order.to])].slice(-MAX_EXCLUDED_VERSIONS);
}
