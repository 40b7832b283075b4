/**
 * What is done about callers who send no request, or not the whole head of one in
 * time. A reply must not be taken for the answer to a request that is in progress
 * on the connection, and a caller is not charged for the time in which its
 * connection was not read.
 */

/** The code by which Node says that a head took too long. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const REASONS: Readonly<Record<string, string>> = {
  [TIMEOUT_CODE]: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};

/** A connection whose caller has made an error. */
export interface ConnectionState {
  /** Requests without a complete response. */
  readonly requests: number;
  /** Whether the body of the last request is still being read. */
  readonly isReadingBody: boolean;
  /** Whether this host does not read from it at present. */
  readonly isHeld: boolean;
  /** Monotonic milliseconds at which it was last read again after that. */
  readonly releasedAt: number;
}

/**
 * What is done about an error: its connection is left alone for a while or until it
 * is read again, or it is closed, at once or after the requests in progress.
 */
export type ErrorDecision =
  | {readonly kind: 'wait'; readonly milliseconds: number}
  | {readonly kind: 'wait-for-release'}
  | {readonly kind: 'close-after-responses'}
  | {readonly kind: 'close'};

/**
 * Decides on an error with a code of Node. `headMilliseconds` is the longest time
 * that a head may take.
 *
 * ```ts
 * const decision = decideOnError(error.code, state, 3_000, clock.monotonic());
 * ```
 */
export function decideOnError(
  code: string | undefined,
  state: ConnectionState,
  headMilliseconds: number,
  now: number,
): ErrorDecision {
  const {requests, isReadingBody, isHeld, releasedAt} = state;
  if (code === TIMEOUT_CODE) {
    if (isHeld) return {kind: 'wait-for-release'};
    const milliseconds = releasedAt + headMilliseconds - now;
    if (milliseconds > 0) return {kind: 'wait', milliseconds};
  }
  // The error may be in the body of the only request.
  const isAlone = requests === 0 || (requests === 1 && isReadingBody);
  return {kind: isAlone ? 'close' : 'close-after-responses'};
}

/** The reply to an error with a code of Node. */
export function replyToError(code = ''): string {
  const reason = REASONS[code] ?? '400 Bad Request';
  return `HTTP/1.1 ${reason}\r\nConnection: close\r\n\r\n`;
}
