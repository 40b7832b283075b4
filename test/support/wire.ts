/** A way between two programs that can be cut or fall silent. */
import {connect, createServer, type Server, type Socket} from 'node:net';

import {partsOf} from '../../source/wire/index.js';
import {listen} from '../../standins/listen.js';
import {freeAddress} from '../../tools/ports.js';

/** Passes connections on until it is told otherwise. */
export class Wire {
  private state: 'whole' | 'cut' | 'silent' = 'whole';
  private readonly sockets = new Set<Socket>();

  private constructor(
    readonly address: string,
    private readonly target: string,
    private readonly server: Server,
  ) {}

  /** Opens a way to a target. */
  static async open(target: string): Promise<Wire> {
    const address = await freeAddress();
    const server = createServer();
    const wire = new Wire(address, target, server);
    server.on('connection', socket => wire.join(socket));
    await listen(server, address);
    return wire;
  }

  /** Closes all connections and takes no new ones. */
  cut(): void {
    this.state = 'cut';
    for (const socket of this.sockets) socket.destroy();
  }

  /** Lets nothing through any more, without closing anything. */
  silence(): void {
    this.state = 'silent';
    for (const socket of this.sockets) socket.pause();
  }

  heal(): void {
    this.state = 'whole';
    for (const socket of this.sockets) socket.destroy();
  }

  close(): void {
    this.cut();
    this.server.close();
  }

  private join(near: Socket): void {
    if (this.state === 'cut') {
      near.destroy();
      return;
    }
    this.keep(near);
    if (this.state === 'silent') return;
    const far = connect(partsOf(this.target));
    this.keep(far);
    near.pipe(far);
    far.pipe(near);
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroy());
  }

  private keep(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }
}
