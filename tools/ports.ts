/**
 * Ports of loopback for programs that are to be started. Several test files run
 * at once, and a port that was found free by two of them would be taken twice;
 * so each process holds one lock port for its life, and with it a range of
 * ports below those that the system gives out itself.
 */
import {createServer, type Server} from 'node:net';

const LOOPBACK = '127.0.0.1';
const FIRST_LOCK_PORT = 10_000;
const FIRST_PORT = 11_000;
const RANGES = 50;
const RANGE_PORTS = 400;

let range: Promise<number> | undefined;
let taken = 0;

function bind(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen({host: LOOPBACK, port, exclusive: true}, () =>
      resolve(server),
    );
  });
}

async function reserveRange(): Promise<number> {
  for (let index = 0; index < RANGES; index++) {
    const lock = await bind(FIRST_LOCK_PORT + index);
    if (!lock) continue;
    lock.unref();
    return index;
  }
  throw new RangeError('every range of ports is taken');
}

/** An address of loopback that no other process of ours will use. */
export async function freeAddress(): Promise<string> {
  range ??= reserveRange();
  const first = FIRST_PORT + (await range) * RANGE_PORTS;
  for (let tries = 0; tries < RANGE_PORTS; tries++) {
    const port = first + (taken++ % RANGE_PORTS);
    const server = await bind(port);
    if (!server) continue;
    await new Promise(resolve => server.close(resolve));
    return `${LOOPBACK}:${port}`;
  }
  throw new RangeError('every port of the range is taken');
}

/**
 * Lets a server listen on a free address and returns it. The system gives a port
 * that a server has left to the next one that asks, also in another process, while
 * hosts still send requests there; these ports stay with this process.
 *
 * ```ts
 * const address = await listenOnFreeAddress(createServer(answer));
 * ```
 */
export async function listenOnFreeAddress(server: Server): Promise<string> {
  const address = await freeAddress();
  const port = Number(address.slice(address.lastIndexOf(':') + 1));
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: LOOPBACK, port}, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
  return address;
}
