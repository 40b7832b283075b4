/**
 * A loopback proxy that misbehaves on demand: it delays, resets, silences or
 * cuts connections one way, those that are open as well as new ones.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

import {partsOf} from '../source/wire/index.js';

/** What a proxy does with its connections. */
export type ProxyMode = 'pass' | 'delay' | 'reset' | 'silent' | 'one-way';

const DELAY_MILLISECONDS = 120;

/** A proxy before one address. */
export class FaultyProxy {
  address = '';
  private mode: ProxyMode = 'pass';
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly target: string) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Opens a port of loopback. */
  async start(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Changes what becomes of connections; a reset ends those that are open. */
  set(mode: ProxyMode): void {
    this.mode = mode;
    if (mode === 'reset') this.resetAll();
  }

  stop(): void {
    this.resetAll();
    this.server.close();
  }

  private accept(near: Socket): void {
    this.watch(near);
    if (this.mode === 'reset') return void near.resetAndDestroy();
    const far = connect(partsOf(this.target));
    this.watch(far);
    this.pipe(near, far, true);
    this.pipe(far, near, false);
  }

  /** Bytes that were held up are lost when the fault is over. */
  private pipe(from: Socket, to: Socket, outward: boolean): void {
    from.on('data', bytes => {
      if (this.mode === 'silent') return;
      if (this.mode === 'one-way' && !outward) return;
      if (this.mode !== 'delay') return void to.write(bytes);
      setTimeout(() => to.write(bytes), DELAY_MILLISECONDS);
    });
    from.on('end', () => {
      if (this.mode === 'silent') return;
      const wait = this.mode === 'delay' ? DELAY_MILLISECONDS : 0;
      setTimeout(() => to.end(), wait);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => this.sockets.delete(from));
  }

  private watch(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
  }

  private resetAll(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.sockets.clear();
  }
}
