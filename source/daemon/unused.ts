/**
 * Connections of a server on which nothing has been received. Node counts them
 * as active, so `closeIdleConnections` leaves them open, and a server that has
 * been closed no longer applies its header timeout to them.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

/** Keeps the connections of a server, to close those that are unused. */
export class UnusedConnections {
  private readonly sockets = new Set<Socket>();

  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Closes every connection on which nothing has been received.
   *
   * ```ts
   * server.close();
   * unused.close();
   * ```
   */
  close(): void {
    for (const socket of this.sockets) {
      if (socket.bytesRead === 0) socket.destroy();
    }
  }
}
