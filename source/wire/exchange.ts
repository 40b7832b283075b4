/**
 * One HTTP exchange of bytes, for every call of this program that is not a
 * caller's request: its bound, its failures by stage, and whether it can have
 * been carried out.
 */
import type {Agent, IncomingHttpHeaders} from 'node:http';

import {connectShortage} from '../descriptors/index.js';
import {ConnectTimeout, WireError} from '../errors/index.js';
import {abandonRequest, trackOpenCall} from './abandon.js';
import {ByteCollector} from './collector.js';
import {partsOf} from './address.js';
import {isFinalStatus, watchWholeness} from './answer.js';
import {createRequest} from './request.js';

/** Largest body of a reply, several times the largest page of the store. */
const MAX_REPLY_BYTES = 8_388_608;

/** What is asked, in bytes. */
export interface ByteCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: Buffer | undefined;
  /** Milliseconds for the whole call. */
  readonly bound: number;
  /** Largest body of the reply; several times the largest page of the store if absent. */
  readonly maxReplyBytes?: number;
  readonly agent?: Agent | undefined;
  readonly headers: Readonly<Record<string, string | number>>;
}

/** What was answered, with any status. */
export interface ByteReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Makes the call. Throws a WireError of stage `connect` where nothing was sent,
 * and of stage `cut` where the call may have been carried out.
 *
 * ```ts
 * const {status, body} = await exchangeBytes(call);
 * ```
 */
export function exchangeBytes(call: ByteCall): Promise<ByteReply> {
  const {address, method, path, body, bound, agent} = call;
  const {maxReplyBytes = MAX_REPLY_BYTES} = call;
  const length = body ? {'content-length': body.length} : {};
  return new Promise((resolve, reject) => {
    let connected = false;
    let responded = false;
    const sent = createRequest({
      ...partsOf(address),
      method,
      path,
      agent,
      headers: {...call.headers, ...length},
    });
    let isOverdue = false;
    const timer = setTimeout(() => {
      isOverdue = true;
      abandonRequest(sent, new Error('no answer in time'));
    }, bound);
    const fail = (error: Error) => {
      clearTimeout(timer);
      const detail = `${path} ${error.message}`;
      const shortage = connectShortage(error);
      if (shortage) reject(shortage);
      else if (connected) reject(new WireError('cut', detail));
      else if (isOverdue) reject(new ConnectTimeout(detail));
      else reject(new WireError('connect', detail));
    };
    sent.once('socket', socket => {
      const stopTracking = trackOpenCall(socket);
      sent.once('response', stopTracking);
      sent.once('close', stopTracking);
      if (!socket.connecting) connected = true;
      else socket.once('connect', () => (connected = true));
    });
    sent.on('error', fail);
    // Comes without an error where the reply switches protocols.
    sent.once('close', () => {
      if (!responded) fail(new Error('no reply'));
    });
    sent.once('response', message => {
      responded = true;
      const isWhole = watchWholeness(message);
      const collector = new ByteCollector();
      message.on('data', (bytes: Buffer) => {
        collector.push(bytes);
        if (collector.length > maxReplyBytes) {
          message.destroy(new Error('the reply is too large'));
        }
      });
      message.on('error', fail);
      message.on('end', () => {
        const {statusCode: status = 0, headers} = message;
        void isWhole().then(whole => {
          if (!whole) return fail(new Error('answer is cut short'));
          if (!isFinalStatus(status))
            return fail(new Error(`${status} is no status of an answer`));
          clearTimeout(timer);
          resolve({status, headers, body: collector.take()});
        });
      });
    });
    sent.end(body);
  });
}
