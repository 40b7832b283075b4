/** The connections by which other hosts send their messages to this one. */
import type {Socket} from 'node:net';

import {openDescriptors} from '../descriptors/index.js';
import type {Logger} from '../logging/index.js';
import {FrameReader} from '../peers/index.js';

/** Reads the frames of all connections that other hosts have opened. */
export class InboundConnections {
  private readonly sockets = new Set<Socket>();

  /** `onValue` is called with the content of each frame. */
  constructor(
    private readonly logger: Logger,
    private readonly onValue: (value: unknown) => void,
  ) {}

  /** Reads a connection until it ends or has a malformed frame. */
  accept(socket: Socket): void {
    const reader = new FrameReader();
    this.sockets.add(socket);
    openDescriptors.addSocket('hosts', socket);
    // eslint-disable-next-line no-restricted-syntax -- it is only read
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes => {
      try {
        for (const value of reader.push(bytes)) this.onValue(value);
      } catch (error) {
        const detail = error instanceof Error ? error.message : '';
        this.logger.warn('gossip-malformed', {detail});
        // eslint-disable-next-line no-restricted-syntax -- it is only read
        socket.destroy();
      }
    });
  }

  /** Ends all connections at once. */
  destroy(): void {
    // eslint-disable-next-line no-restricted-syntax -- it is only read
    for (const socket of this.sockets) socket.destroy();
  }
}
