/**
 * A refusal is the typed error response that a caller gets in place of a result.
 * A table holds, for each code, the HTTP status, the error type, and whether
 * waiting helps. Each refusal also says what the router knows about whether the
 * request ran. The body has the error format that the OpenAI clients expect.
 */
import * as z from 'zod';

import {ArbutusslipError} from './failure.js';

/** The response header that tells a caller whether its request ran. */
export const OUTCOME_HEADER = 'arbutusslip-outcome';

/** Whether a request ran. `not-run` guarantees that no endpoint ran it. */
export const outcomeSchema = z.enum(['not-run', 'ran', 'unknown']);
export type Outcome = z.infer<typeof outcomeSchema>;

export const refusalCodeSchema = z.enum([
  'malformed-request',
  'body-too-large',
  'body-encoding',
  'key-missing',
  'key-unknown',
  'key-withdrawn',
  'key-exposed',
  'team-withdrawn',
  'route-unknown',
  'route-forbidden',
  'route-withdrawn',
  'method-not-allowed',
  'queue-full',
  'queue-timeout',
  'no-descriptors',
  'target-unreachable',
  'prompt-blocked',
  'request-blocked',
  'stream-version-unknown',
  'shed',
  'not-ready',
  'cut-off',
  'endpoint-failed',
  'endpoint-lost',
  'endpoint-refused',
  'outcome-unknown',
  'no-endpoint',
  'timed-out',
  'idempotency-conflict',
  'idempotency-key-invalid',
  'idempotency-pending',
  'claims-unavailable',
  'stored-answer-too-large',
  'internal',
]);
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

interface RefusalProperties {
  readonly status: number;
  readonly type: string;
  /** Seconds after which a retry may help; 0 where waiting does not help. */
  readonly retryAfter: number;
}

const INVALID = 'invalid_request_error';
const AUTHENTICATION = 'authentication_error';
const PERMISSION = 'permission_error';
const OVERLOADED = 'overloaded_error';
const SERVER = 'server_error';

const REFUSAL_PROPERTIES: Readonly<Record<RefusalCode, RefusalProperties>> = {
  'malformed-request': {status: 400, type: INVALID, retryAfter: 0},
  'body-too-large': {status: 413, type: INVALID, retryAfter: 0},
  'body-encoding': {status: 415, type: INVALID, retryAfter: 0},
  'key-missing': {status: 401, type: AUTHENTICATION, retryAfter: 0},
  'key-unknown': {status: 401, type: AUTHENTICATION, retryAfter: 0},
  'key-withdrawn': {status: 401, type: AUTHENTICATION, retryAfter: 0},
  'key-exposed': {status: 400, type: INVALID, retryAfter: 0},
  'team-withdrawn': {status: 401, type: AUTHENTICATION, retryAfter: 0},
  'route-unknown': {status: 404, type: INVALID, retryAfter: 0},
  'route-forbidden': {status: 403, type: PERMISSION, retryAfter: 0},
  'route-withdrawn': {status: 404, type: INVALID, retryAfter: 0},
  'method-not-allowed': {status: 405, type: INVALID, retryAfter: 0},
  'queue-full': {status: 429, type: OVERLOADED, retryAfter: 1},
  'queue-timeout': {status: 503, type: OVERLOADED, retryAfter: 1},
  'no-descriptors': {status: 503, type: OVERLOADED, retryAfter: 1},
  'target-unreachable': {status: 429, type: OVERLOADED, retryAfter: 2},
  'prompt-blocked': {status: 503, type: SERVER, retryAfter: 0},
  'request-blocked': {status: 503, type: SERVER, retryAfter: 0},
  'stream-version-unknown': {status: 503, type: SERVER, retryAfter: 0},
  shed: {status: 503, type: OVERLOADED, retryAfter: 2},
  'not-ready': {status: 503, type: SERVER, retryAfter: 1},
  'cut-off': {status: 503, type: SERVER, retryAfter: 5},
  'endpoint-failed': {status: 502, type: SERVER, retryAfter: 1},
  'endpoint-lost': {status: 502, type: SERVER, retryAfter: 1},
  'endpoint-refused': {status: 503, type: OVERLOADED, retryAfter: 1},
  'outcome-unknown': {status: 502, type: SERVER, retryAfter: 0},
  'no-endpoint': {status: 503, type: SERVER, retryAfter: 1},
  'timed-out': {status: 504, type: SERVER, retryAfter: 0},
  'idempotency-conflict': {status: 422, type: INVALID, retryAfter: 0},
  'idempotency-key-invalid': {status: 400, type: INVALID, retryAfter: 0},
  'idempotency-pending': {status: 409, type: INVALID, retryAfter: 1},
  'claims-unavailable': {status: 503, type: SERVER, retryAfter: 5},
  'stored-answer-too-large': {status: 409, type: INVALID, retryAfter: 0},
  internal: {status: 500, type: SERVER, retryAfter: 0},
};

/** The JSON body of a refusal. */
export const refusalBodySchema = z.object({
  error: z.object({
    message: z.string(),
    type: z.string(),
    code: refusalCodeSchema,
    param: z.null(),
    outcome: outcomeSchema,
  }),
});
export type RefusalBody = z.infer<typeof refusalBodySchema>;

/**
 * The error that ends a caller's request. Its message reaches the caller in the
 * body of the response.
 *
 * ```ts
 * throw new Refusal('queue-full', 'not-run', 'the queue is full');
 * ```
 */
export class Refusal extends ArbutusslipError {
  readonly status: number;
  /** Seconds after which a retry may help; 0 where waiting does not help. */
  readonly retryAfter: number;

  constructor(
    readonly code: RefusalCode,
    readonly outcome: Outcome,
    detail: string,
  ) {
    super(detail);
    this.status = REFUSAL_PROPERTIES[code].status;
    this.retryAfter = REFUSAL_PROPERTIES[code].retryAfter;
  }

  /**
   * The response body, in the error format of the OpenAI API.
   *
   * ```ts
   * response.end(JSON.stringify(refusal.body()));
   * ```
   */
  body(): RefusalBody {
    const {type} = REFUSAL_PROPERTIES[this.code];
    const {message, code, outcome} = this;
    return {error: {message, type, code, param: null, outcome}};
  }
}
