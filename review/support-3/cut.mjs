/**
 * A proxy for the way of one machine to the platform, which can be cut. It keeps to
 * what TCP does: what a sender has written stays on its way during a cut, and
 * arrives with the first retransmission after it, whose pauses double from 200 ms
 * on, also when the sender has closed the connection meanwhile. It is lost if the
 * sender resets the connection.
 */
import {connect, createServer} from 'node:net';
import {setTimeout} from 'node:timers';

const FIRST_RETRANSMISSION_MILLISECONDS = 200;

/** Whether the way is cut, for all proxies of one machine. */
export class Way {
  isCut = false;
  #healing = [];

  /** Resolves when the way is whole. */
  whole() {
    if (!this.isCut) return Promise.resolve();
    return new Promise(resolve => this.#healing.push(resolve));
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    for (const resolve of this.#healing.splice(0)) resolve();
  }
}

/**
 * Listens on a free port of an address for what goes to `target`. Calls `onBytes`
 * with what a connection has sent, before it is passed on or held up.
 */
export async function startProxy({
  host,
  target,
  way,
  onBytes = () => {},
  note,
}) {
  const sockets = new Set();
  const server = createServer({allowHalfOpen: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    void carry(socket, {target, way, onBytes, note, sockets});
  });
  await new Promise(resolve => server.listen(0, host, resolve));
  const stop = () => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {address: `${host}:${server.address().port}`, stop};
}

async function carry(near, {target, way, onBytes, note, sockets}) {
  if (way.isCut) return loseOpening(near, way);
  const [host, port] = target.split(':');
  const far = connect({host, port: Number(port), allowHalfOpen: true});
  sockets.add(far);
  let isReset = false;
  let hasEnded = false;
  let isRetransmitting = false;
  const held = [];
  const pass = () => {
    if (isReset) return;
    for (const bytes of held.splice(0)) far.write(bytes);
    if (hasEnded) far.end();
  };
  const retransmit = async () => {
    let pause = FIRST_RETRANSMISSION_MILLISECONDS;
    while (way.isCut && !isReset) {
      await new Promise(resolve => setTimeout(resolve, pause));
      pause *= 2;
    }
    isRetransmitting = false;
    if (!isReset) note?.(`what was held up arrives at ${target}`);
    pass();
  };
  const send = () => {
    if (isRetransmitting) return;
    if (!way.isCut) return pass();
    isRetransmitting = true;
    void retransmit();
  };
  near.on('error', () => {
    isReset = true;
    far.resetAndDestroy();
  });
  near.on('data', bytes => {
    onBytes(bytes);
    held.push(bytes);
    send();
  });
  near.on('end', () => {
    hasEnded = true;
    send();
  });
  far.on('close', () => sockets.delete(far));
  far.on('error', () => near.resetAndDestroy());
  far.on('data', async bytes => {
    await way.whole();
    if (!near.destroyed) near.write(bytes);
  });
  far.on('end', async () => {
    await way.whole();
    if (!near.destroyed) near.end();
  });
}

/** The opening packets of a connection are lost in a cut, and all that follows. */
async function loseOpening(near, way) {
  near.on('error', () => {});
  near.resume();
  await way.whole();
  near.resetAndDestroy();
}
