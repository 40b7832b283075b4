/**
 * Relays a response that is no stream: buffers it until it is complete, within the
 * host's limits on memory and on time, and sends it to the caller.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Clock} from '../clock/index.js';
import type {Metrics} from '../metrics/index.js';
import {readWhole} from '../relay/index.js';
import {AttemptFailure} from './attemptfailure.js';
import type {BufferShare, ResponseBuffers} from './buffers.js';
import type {RequestContext} from './context.js';
import type {EndpointResponse} from './endpointresponse.js';
import type {ResponseHead} from './protocol.js';

/** Largest body of a response that is buffered. */
const MAX_BUFFERED_BODY_BYTES = 16_777_216;
/**
 * Most that a buffered response may have beside its body. In chunks of one byte
 * that is five times the body, and takes seconds to read.
 */
const MAX_FRAMING_BYTES = 4_194_304;
/** Pieces of a body after which its framing is compared with that. */
const PIECES_PER_CHECK = 256;
/** Body whose memory counts until the caller has received it. */
const LARGE_BODY_BYTES = 65_536;
const MIN_SERVER_ERROR_STATUS = 500;

/** What a buffered response is relayed with. */
export interface BufferedRelayOptions {
  readonly response: EndpointResponse;
  readonly head: ResponseHead;
  readonly context: RequestContext;
  readonly buffers: ResponseBuffers;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Aborted when the request is over. */
  readonly cancellation: CancellationSignal;
  /** Called when the response is complete, before it is sent. */
  readonly onComplete: () => void;
}

/**
 * Buffers a response and sends it. Throws an AttemptFailure if it is not complete,
 * or a server error, which may be retried elsewhere.
 */
export async function relayBuffered(
  options: BufferedRelayOptions,
): Promise<void> {
  const {response, head, context, buffers, metrics} = options;
  const {answer} = context;
  let isSent = false;
  const share = buffers.open(() => {
    metrics.count('response-evicted', {});
    if (isSent) answer.abort();
    else response.message.destroy(new Error('too many bytes are buffered'));
  });
  limitFraming(response);
  try {
    const body = await receive(options, share);
    answer.sendComplete(head, body);
    isSent = body.length > LARGE_BODY_BYTES;
    if (isSent) answer.onClose(() => share.close());
  } finally {
    if (!isSent) share.close();
  }
}

/** Returns the body of a complete response. Throws an AttemptFailure. */
async function receive(
  {
    response,
    head,
    context,
    clock,
    cancellation,
    onComplete,
  }: BufferedRelayOptions,
  share: BufferShare,
): Promise<Buffer> {
  const body = await readWhole(response.message, {
    limit: MAX_BUFFERED_BODY_BYTES,
    silence: context.timeLeft,
    signal: cancellation,
    onMemory: bytes => share.add(bytes),
    isWhole: response.isComplete,
  });
  onComplete();
  if (head.status >= MIN_SERVER_ERROR_STATUS) {
    const detail = `status ${head.status}`;
    throw new AttemptFailure('status', detail, false, {head, body});
  }
  if (context.answer.isHeadSent) {
    throw new AttemptFailure('malformed', 'no stream to go on with', false);
  }
  context.firstByteAt = clock.monotonic();
  return body;
}

/** Closes the connection of a response that has too much framing. */
function limitFraming({message, receivedBytes}: EndpointResponse): void {
  let pieces = 0;
  let bodyBytes = 0;
  message.on('data', (bytes: Buffer) => {
    pieces++;
    bodyBytes += bytes.length;
    if (pieces % PIECES_PER_CHECK !== 0) return;
    if (receivedBytes() - bodyBytes <= MAX_FRAMING_BYTES) return;
    message.destroy(new Error('the response has too much framing'));
  });
}
