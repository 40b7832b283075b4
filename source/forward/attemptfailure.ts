/** How an attempt of a request at an endpoint fails. */
import {DescriptorShortage, Refusal, WireError} from '../errors/index.js';
import type {ResponseHead} from './protocol.js';

/** An endpoint's complete response. */
export interface BufferedResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/**
 * What a failed attempt tells of whether its endpoint has crashed. `cut`: it
 * closed the connection before its response was complete. `spoiled`: it sent what
 * is no response to the request, and this host closed the connection.
 */
export type CrashSign = 'cut' | 'spoiled';

/** The failure of an attempt, by stage. */
export class AttemptFailure extends WireError {
  constructor(
    stage: WireError['stage'],
    detail: string,
    /** Whether the endpoint stated that it did not run the request. */
    readonly notRun: boolean,
    /** The endpoint's own response, where that reports a server error. */
    readonly answer?: BufferedResponse,
  ) {
    super(stage, detail);
  }
}

/**
 * Converts a WireError to an AttemptFailure; throws any other error. Throws a
 * Refusal for want of a descriptor, which is no failure of the endpoint and would
 * end an attempt at another one as well.
 */
export function toAttemptFailure(error: unknown): AttemptFailure {
  if (error instanceof AttemptFailure) return error;
  if (error instanceof DescriptorShortage)
    throw new Refusal('no-descriptors', 'not-run', error.message);
  if (!(error instanceof WireError)) throw error;
  return new AttemptFailure(error.stage, error.message, false);
}
