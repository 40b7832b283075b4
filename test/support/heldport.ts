/** Ports that another program holds, as a host that starts may find them. */
import {createServer, type Server, type Socket} from 'node:net';

import {partsOf} from '../../source/wire/index.js';

/** A port that is taken until it is released. */
export class HeldPort {
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly server: Server) {
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Takes a port. */
  static async take(address: string): Promise<HeldPort> {
    const server = createServer();
    const held = new HeldPort(server);
    const {host, port} = partsOf(address);
    await new Promise<void>(resolve => server.listen({host, port}, resolve));
    return held;
  }

  /** Closes its connections and frees the port. */
  release(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
