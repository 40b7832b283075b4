/**
 * Ports of loopback as a busy machine has them: drawn from those that the kernel
 * also gives to connections, and held by somebody else for some time.
 */
import {createServer, type Server} from 'node:net';
import type {AddressInfo} from 'node:net';

import type {RandomSource} from '../source/random/index.js';
import {partsOf} from '../source/wire/index.js';

/** Ports of a host, by what they serve. */
export const PORT_NAMES = [
  'callers',
  'readiness',
  'control',
  'metrics',
] as const;
export type PortName = (typeof PORT_NAMES)[number];

const LOOPBACK = '127.0.0.1';

/**
 * How addresses are drawn: by the kernel, each of which it gives out once; by the
 * kernel, one after the other, so that it may give one out twice; or at random
 * from the range of which the kernel also gives ports to connections.
 */
export const DRAWS = ['distinct', 'repeated', 'random'] as const;
export type Draw = (typeof DRAWS)[number];

const FIRST_PORT = 32_768;
const LAST_PORT = 60_999;

/** Draws addresses that were free a moment ago. */
export class AddressDrawer {
  /** Addresses that were given out more than once. */
  repeated = 0;
  private readonly drawn = new Set<number>();

  constructor(
    private readonly draws: Draw,
    private readonly random: RandomSource,
  ) {}

  async draw(): Promise<string> {
    for (;;) {
      const port = await this.freePort();
      const isKnown = port === undefined || this.drawn.has(port);
      if (port === undefined || (isKnown && this.draws !== 'repeated'))
        continue;
      if (isKnown) this.repeated++;
      this.drawn.add(port);
      return `${LOOPBACK}:${port}`;
    }
  }

  private async freePort(): Promise<number | undefined> {
    const range = LAST_PORT - FIRST_PORT + 1;
    const wanted =
      this.draws === 'random'
        ? FIRST_PORT + Math.floor(this.random.next() * range)
        : 0;
    try {
      const server = await holdPort(wanted);
      const {port} = server.address() as AddressInfo;
      await new Promise(resolve => server.close(resolve));
      return port;
    } catch {
      return undefined;
    }
  }
}

/** Holds an address until the function that it resolves with is called. */
export async function holdAddress(address: string): Promise<() => void> {
  const server = await holdPort(partsOf(address).port);
  return () => void server.close();
}

/** Throws the error of Node where the port is not free. */
function holdPort(port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer(socket => {
      socket.on('error', () => socket.destroy());
      socket.destroy();
    });
    server.once('error', reject);
    server.listen({host: LOOPBACK, port}, () => resolve(server));
  });
}
