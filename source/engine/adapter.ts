/**
 * What the router needs from an endpoint. One subclass knows the wire; the
 * users' bench brings another. Every failure is a WireError that tells the
 * stage, because the stage says what is known about the request having run.
 */
import type {IncomingMessage} from 'node:http';

import * as z from 'zod';

import type {CancellationSignal} from '../cancellation/index.js';
import type {Endpoint} from '../configuration/index.js';
import type {WholenessCheck} from '../wire/index.js';

/** One attempt at an endpoint. */
export interface Order {
  /** Unique to this attempt. */
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, from the allow-list. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** 1 is served first. */
  readonly priority: number;
  /** Whether a new connection is used, which nothing can have forgotten. */
  readonly newConnection: boolean;
}

/** The head of an endpoint's answer, with the body still to be read. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** What the endpoint says of itself, where it does. */
  readonly state: 'cold' | 'warm' | 'leaving' | undefined;
  /** The endpoint's own word that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the connection had carried other requests before. */
  readonly reused: boolean;
  readonly body: IncomingMessage;
  /** Tells, once the body has ended, whether all of it has come. */
  readonly isWhole: WholenessCheck;
}

/** An endpoint's own, late word on its load. */
export const loadReportSchema = z.object({
  state: z.enum(['cold', 'warm', 'leaving']),
  running: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  slots: z.number().int().nonnegative(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** The interfaces of an endpoint. */
export abstract class EndpointAdapter {
  /** Sends a request; resolves when the head of the answer is there. */
  abstract send(
    endpoint: Endpoint,
    order: Order,
    signal: CancellationSignal,
  ): Promise<Answer>;
  /**
   * Continues an attempt on a new connection: its stream after an event, or
   * its whole answer.
   */
  abstract resume(
    endpoint: Endpoint,
    attempt: string,
    after: number | 'whole',
    signal: CancellationSignal,
  ): Promise<Answer>;
  /** Ends an attempt; what it has generated is wasted. */
  abstract cancel(endpoint: Endpoint, attempt: string): Promise<void>;
  abstract load(endpoint: Endpoint): Promise<LoadReport>;
  /** Drops the idle connections to an endpoint, which may be forgotten ones. */
  abstract renewConnections(endpoint: Endpoint): void;
}
