/** Finds out whether anything accepts connections at an address. */
import {connect} from 'node:net';

import type {Clock} from '../clock/index.js';
import {connectShortage, openDescriptors} from '../descriptors/index.js';
import {partsOf} from './address.js';

/**
 * Resolves with whether a connection to an address is accepted within `timeout`
 * milliseconds. Closes it at once; sends nothing.
 *
 * ```ts
 * const isUp = await acceptsConnections('10.1.0.24:8740', 250, clock);
 * ```
 */
export function acceptsConnections(
  address: string,
  timeout: number,
  clock: Clock,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(partsOf(address));
    openDescriptors.addSocket('probes', socket);
    const finish = (isAccepted: boolean) => {
      stopTimer();
      // eslint-disable-next-line no-restricted-syntax -- nothing was written
      socket.destroy();
      resolve(isAccepted);
    };
    const stopTimer = clock.after(timeout, () => finish(false));
    socket.once('connect', () => finish(true));
    socket.on('error', error => {
      connectShortage(error);
      finish(false);
    });
  });
}
