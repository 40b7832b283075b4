/**
 * A call that only the holder of a lease may make. Node queues a request until
 * its socket is connected, so a check before the request proves nothing: here
 * the connection is made first, and the check and the write are one step.
 */
import {request, type ClientRequest} from 'node:http';
import {connect, type Socket} from 'node:net';

import {connectShortage, openDescriptors} from '../descriptors/index.js';
import {WireError} from '../errors/index.js';
import {abandonRequest, abandonSocket, trackOpenCall} from './abandon.js';
import type {Call} from './call.js';
import {partsOf} from './address.js';
import {isFinalStatus, isSuccessStatus, watchWholeness} from './answer.js';

/**
 * Makes the call if `mayAct` holds when the connection is ready. Answers
 * whether it was sent. Throws a WireError where it was sent and failed.
 *
 * ```ts
 * const sent = await callGuarded(call, () => mayAct(role, clock.monotonic()));
 * ```
 */
export function callGuarded(
  call: Call,
  mayAct: () => boolean,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const socket = connect({...partsOf(call.address), noDelay: true});
    openDescriptors.addSocket('store', socket);
    const stopTracking = trackOpenCall(socket);
    socket.once('close', stopTracking);
    const signal = AbortSignal.timeout(call.bound);
    const fail = (error: Error) => {
      abandonSocket(socket);
      reject(connectShortage(error) ?? new WireError('cut', error.message));
    };
    signal.addEventListener('abort', () => fail(new Error('timed out')), {
      once: true,
    });
    socket.on('error', fail);
    socket.once('connect', () => {
      const outgoing = createRequest(call, socket, fail);
      if (!outgoing) return;
      outgoing.once('error', fail);
      outgoing.once('response', answer => {
        stopTracking();
        const {statusCode: status = 0} = answer;
        const isWhole = watchWholeness(answer);
        answer.resume();
        answer.once('error', fail);
        if (!isFinalStatus(status))
          return fail(new Error(`${status} is no status of an answer`));
        if (!isSuccessStatus(status))
          return reject(new WireError('status', call.path, status));
        answer.once('end', () => {
          void isWhole().then(whole => {
            if (whole) resolve(true);
            else fail(new Error('answer is cut short'));
          });
        });
      });
      outgoing.once('socket', () => {
        if (mayAct()) {
          outgoing.end(JSON.stringify(call.body));
          return;
        }
        abandonRequest(outgoing);
        resolve(false);
      });
    });
  });
}

/**
 * Creates the request on a connected socket. Node throws if a header or the path
 * has characters that it does not send; then this calls `fail`.
 */
function createRequest(
  {address, method, path, headers}: Call,
  socket: Socket,
  fail: (error: Error) => void,
): ClientRequest | undefined {
  try {
    return request({
      method,
      path,
      headers: {
        host: address,
        'content-type': 'application/json',
        connection: 'close',
        ...headers,
      },
      createConnection: () => socket,
    });
  } catch (error) {
    fail(error instanceof Error ? error : new Error('unknown'));
    return undefined;
  }
}
