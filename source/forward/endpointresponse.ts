/**
 * An endpoint's response whose head has come: where its body ends, and how one
 * knows that all of it has come.
 */
import type {IncomingMessage} from 'node:http';

/** An endpoint's response, whose body is still to be read. */
export interface EndpointResponse {
  readonly message: IncomingMessage;
  /**
   * Whether the head tells where the body ends. Otherwise it ends with the
   * connection, also when the endpoint crashes.
   */
  readonly isDelimited: boolean;
  /**
   * Whether the connection has carried earlier requests, so that the endpoint
   * may repeat a response to one of them.
   */
  readonly isReused: boolean;
  /** Bytes that have come on the connection since the request was sent. */
  readonly receivedBytes: () => number;
  /**
   * Resolves with whether a message that has ended is complete. A connection
   * reset that arrives together with the last bytes looks like a normal end. So
   * where only the end of the connection delimits the message, writes to the
   * connection to see whether it was reset.
   */
  readonly isComplete: () => Promise<boolean>;
}

/** Written to a connection that its peer has ended, to detect a reset. */
const PROBE = '\r\n';

/** The encodings of a body that tells its own end: chunks come last. */
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Statuses of responses that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** What is known of the connection of a response. */
export interface ResponseConnection {
  readonly isReused: boolean;
  /** Bytes that had come on it before the request. */
  readonly bytesReadBefore: number;
}

/** Returns the response of a message; call it when its head has come. */
export function responseOf(
  message: IncomingMessage,
  {isReused, bytesReadBefore}: ResponseConnection,
): EndpointResponse {
  const {socket} = message;
  const isDelimited = hasDelimitedBody(message);
  return {
    message,
    isDelimited,
    isReused,
    isComplete: completenessCheck(message, isDelimited),
    receivedBytes: () => socket.bytesRead - bytesReadBefore,
  };
}

/** Whether a head tells where the body ends. */
function hasDelimitedBody({headers, statusCode = 0}: IncomingMessage): boolean {
  return (
    BODILESS_STATUSES.has(statusCode) ||
    headers['content-length'] !== undefined ||
    CHUNKED_LAST.test(headers['transfer-encoding'] ?? '')
  );
}

/** Returns the `isComplete` of a response; call it when its head has come. */
function completenessCheck(
  message: IncomingMessage,
  isDelimited: boolean,
): EndpointResponse['isComplete'] {
  const {socket} = message;
  if (isDelimited) return () => Promise.resolve(message.complete);
  const endedWithoutReset = new Promise<boolean>(resolve => {
    // Runs before Node's own `end` listener, which prevents further writes.
    socket.prependListener('end', () => {
      socket.write(PROBE, error => resolve(!error));
    });
    socket.once('error', () => resolve(false));
    socket.once('close', () => resolve(false));
  });
  return () => endedWithoutReset;
}
