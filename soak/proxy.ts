/**
 * A loopback proxy that misbehaves on demand: it delays, resets, silences or
 * cuts connections one way, or reads nothing, those that are open as well as new
 * ones.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';

import {partsOf} from '../source/wire/index.js';
import {listenOnFreeAddress} from '../tools/ports.js';

/** What a proxy does with its connections. */
export type ProxyMode =
  'pass' | 'delay' | 'reset' | 'silent' | 'one-way' | 'deaf';

const DELAY_MILLISECONDS = 120;

/** A proxy before one address. */
export class FaultyProxy {
  address = '';
  private mode: ProxyMode = 'pass';
  private readonly sockets = new Set<Socket>();
  /** The sockets of those that connect to the proxy. */
  private readonly nears = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly target: string) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Opens a port of loopback. */
  async start(): Promise<void> {
    this.address = await listenOnFreeAddress(this.server);
  }

  /** Changes what becomes of connections; a reset ends those that are open. */
  set(mode: ProxyMode): void {
    this.mode = mode;
    if (mode === 'reset') this.resetAll();
    for (const near of this.nears) this.pace(near);
  }

  get passes(): boolean {
    return this.mode === 'pass';
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
    this.nears.add(near);
    near.on('close', () => this.nears.delete(near));
    this.pace(near);
  }

  private pace(near: Socket): void {
    if (this.mode === 'deaf') near.pause();
    else near.resume();
  }

  /**
   * Bytes that are swallowed are lost for good, and so is what follows on them, as
   * no connection delivers bytes after a gap; none overtakes another.
   */
  private pipe(from: Socket, to: Socket, outward: boolean): void {
    const line = new Line();
    const wait = () => (this.mode === 'delay' ? DELAY_MILLISECONDS : 0);
    let hasGap = false;
    from.on('data', bytes => {
      const isOneWay = this.mode === 'one-way' && !outward;
      hasGap ||= this.mode === 'silent' || isOneWay;
      if (!hasGap) line.add(wait(), () => to.write(bytes));
    });
    from.on('end', () => {
      if (this.mode !== 'silent' && !hasGap) line.add(wait(), () => to.end());
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

/** Steps that are taken in their order, each no sooner than it is due. */
class Line {
  private readonly steps: {readonly due: number; readonly take: () => void}[] =
    [];

  add(delay: number, take: () => void): void {
    this.steps.push({due: performance.now() + delay, take});
    if (this.steps.length === 1) this.next();
  }

  private next(): void {
    const [step] = this.steps;
    if (!step) return;
    const left = step.due - performance.now();
    if (left > 0) return void setTimeout(() => this.next(), left);
    step.take();
    this.steps.shift();
    this.next();
  }
}
