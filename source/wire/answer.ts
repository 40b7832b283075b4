/**
 * Whether what came from another program is an answer: a final status, and a body
 * of which all has come. Node calls a message complete when its connection ends in
 * an error, if the head does not tell where the body ends, and takes any number
 * for a status.
 */
import type {IncomingMessage} from 'node:http';

const MIN_FINAL_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;
const MAX_FINAL_STATUS = 599;

/** Written to a connection that its peer has ended, to detect a reset. */
const PROBE = '\r\n';

/** The encodings of a body that tells its own end: chunks come last. */
const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Statuses of answers that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Resolves with whether all of a message has come, once it has ended. */
export type WholenessCheck = () => Promise<boolean>;

/** Whether a status is one that an answer can end with. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** Whether a status says that a request was carried out. */
export function isSuccessStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status < MIN_REDIRECT_STATUS;
}

/** Whether a head tells where the body ends. */
export function hasDelimitedBody({
  headers,
  statusCode = 0,
}: IncomingMessage): boolean {
  return (
    BODILESS_STATUSES.has(statusCode) ||
    headers['content-length'] !== undefined ||
    CHUNKED_LAST.test(headers['transfer-encoding'] ?? '')
  );
}

/**
 * Watches how a message ends; call it when its head has come. A reset that arrives
 * together with the last bytes looks like a normal end. So where only the end of
 * the connection delimits the message, this writes to the connection then.
 *
 * ```ts
 * const isWhole = watchWholeness(message);
 * message.on('end', async () => done(await isWhole()));
 * ```
 */
export function watchWholeness(message: IncomingMessage): WholenessCheck {
  const {socket} = message;
  if (hasDelimitedBody(message)) return () => Promise.resolve(message.complete);
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
