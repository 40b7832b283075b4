/** One request of a caller, on the connection that its agent keeps. */
import {request, type Agent} from 'node:http';
import type {Socket} from 'node:net';

import {DEADLY_RESOURCE, type Asked, type Got} from './ledger.js';

const CALLER_MILLISECONDS = 3_000;
const PATIENCE_MILLISECONDS = 2_000;
/** Between the two parts of a body. */
const BODY_GAP_MILLISECONDS = 60;

/** `maxBodyBytes` of the configuration. */
export const MAX_BODY_BYTES = 4_194_304;
const LARGE_BODY = Buffer.alloc(MAX_BODY_BYTES, 'x');

/** Connections whose late errors, behind an answer, are passed over. */
const quiet = new WeakSet<Socket>();

function quieten(socket: Socket): void {
  if (quiet.has(socket)) return;
  quiet.add(socket);
  socket.on('error', () => socket.destroy());
}

/** What came back. */
export interface Reply extends Pick<Got, 'status' | 'body' | 'whole'> {
  /** Whether the caller gave up because nothing came in time. */
  readonly overdue: boolean;
}

/** Asks the host at an address; never throws. */
export function askHost(
  address: string,
  {route, key, id, work, isDeadly, bodyBytes}: Asked,
  agent: Agent,
): Promise<Reply> {
  const resource = isDeadly ? DEADLY_RESOURCE : '1';
  let body = '';
  let overdue = false;
  return new Promise(resolve => {
    const end = (status: number, whole: boolean) => {
      clearTimeout(timer);
      resolve({status, body, whole, overdue});
    };
    const sent = request(
      `http://${address}/${route}/${resource}?work=${work}`,
      {
        agent,
        method: route === 'record' || bodyBytes ? 'POST' : 'GET',
        headers: {
          host: 'register.example',
          authorization: `Bearer ${key}`,
          'x-attempt-id': id,
          'x-deadline-ms': String(PATIENCE_MILLISECONDS),
        },
      },
      message => {
        message.on('data', (part: Buffer) => (body += part.toString()));
        message.on('error', () => {});
        message.on('close', () =>
          end(message.statusCode ?? 0, message.complete),
        );
      },
    );
    const timer = setTimeout(() => {
      overdue = true;
      sent.destroy();
    }, CALLER_MILLISECONDS);
    sent.on('error', () => end(0, false));
    sent.on('socket', quieten);
    if (bodyBytes) return void sent.end(LARGE_BODY.subarray(0, bodyBytes));
    if (route !== 'record') return void sent.end();
    sent.write('first part, ');
    setTimeout(() => sent.end('second part'), BODY_GAP_MILLISECONDS);
  });
}
