/**
 * The links of a host. Of two hosts the one whose name comes first connects,
 * so there is one link a pair. Both sides prove that they know the secret of
 * the fleet, by TLS with a pre-shared key; several secrets may be accepted at
 * once, so that it can be changed without a stop.
 */
import {connect, createServer, type Server, type TLSSocket} from 'node:tls';
import {createHash} from 'node:crypto';

import type {Cancel, Clock} from '../clock/index.js';
import {connectShortage} from '../descriptors/index.js';
import type {Heartbeat, Hello, Message} from '../messages/index.js';
import type {HostEntry} from '../platform/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {Port} from '../ports/index.js';
import {partsOf} from '../wire/index.js';
import {Link} from './link.js';

const CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305:ECDHE-PSK-AES128-CBC-SHA256';
const TLS_VERSION = 'TLSv1.2';
const RECONNECT_MILLISECONDS = 500;
/** Least time between two heartbeats of a link. */
const HEARTBEAT_MILLISECONDS = 1_000;
/** With many peers each gets fewer, so that a host sends at most 20 a second. */
const HEARTBEAT_MILLISECONDS_PER_PEER = 50;
const IDENTITY_CHARACTERS = 16;
const CONNECT_BOUND_MILLISECONDS = 2_000;

/** Another host that a link leads to. */
export interface Peer {
  readonly hello: Hello;
  readonly link: Link;
  readonly heartbeat: Heartbeat | undefined;
}

/** What a mesh is made from. */
export interface MeshOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly self: Hello;
  /** The present secret first, then those that are still accepted. */
  readonly secrets: readonly string[];
  readonly pulse: () => Omit<
    Heartbeat,
    'kind' | 'sequence' | 'heard' | 'period'
  >;
  readonly up: (peer: Peer) => void;
  readonly down: (hello: Hello) => void;
  readonly message: (hello: Hello, message: Message) => void;
  readonly fault: (reason: string) => void;
}

/** The links of a host to others. */
export class Mesh {
  private readonly server: Server;
  private readonly peers = new Map<string, Peer>();
  private readonly links = new Set<Link>();
  private readonly connecting = new Set<string>();
  private listed: readonly HostEntry[] = [];
  private port: Port | undefined;
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: MeshOptions) {
    const keys = new Map(
      options.secrets.map(secret => [identityOf(secret), keyOf(secret)]),
    );
    this.server = createServer({
      ciphers: CIPHERS,
      minVersion: TLS_VERSION,
      maxVersion: TLS_VERSION,
      pskCallback: (_, identity) => keys.get(identity) ?? null,
    });
    this.server.on('secureConnection', socket => this.adopt(socket));
    this.server.on('tlsClientError', () => options.fault('handshake'));
  }

  /**
   * Listens for other hosts, as soon as the port is free, and keeps the links to
   * those that are listed.
   */
  start(address: string): void {
    const {clock, logger, metrics} = this.options;
    const {server} = this;
    const isRequired = false;
    const role = 'peers';
    const parts = {role, address, server, isRequired, clock, logger, metrics};
    this.port = new Port(parts);
    void this.port.open();
    this.stopTimer = clock.every(RECONNECT_MILLISECONDS, () =>
      this.connectAll(),
    );
  }

  stop(): void {
    this.stopTimer();
    this.port?.close();
    for (const link of [...this.links]) link.close();
  }

  /** Sets the hosts to keep links to. */
  setListed(hosts: readonly HostEntry[]): void {
    this.listed = hosts;
    this.connectAll();
  }

  /** The hosts that a link leads to, by incarnation. */
  list(): Peer[] {
    return [...this.peers.values()];
  }

  get(incarnation: string): Peer | undefined {
    return this.peers.get(incarnation);
  }

  /** Sends to every host in reach. */
  broadcast(message: Message): void {
    for (const {link} of this.peers.values()) link.send(message);
  }

  private connectAll(): void {
    const {self} = this.options;
    for (const host of this.listed) {
      const ours = self.name < host.name;
      const present = this.peers.has(host.incarnation);
      if (!ours || present || this.connecting.has(host.incarnation)) continue;
      this.connect(host);
    }
  }

  private connect({peers, incarnation}: HostEntry): void {
    const [secret = ''] = this.options.secrets;
    this.connecting.add(incarnation);
    const {host, port} = partsOf(peers);
    const socket = connect({
      host,
      port,
      ciphers: CIPHERS,
      minVersion: TLS_VERSION,
      maxVersion: TLS_VERSION,
      pskCallback: () => ({psk: keyOf(secret), identity: identityOf(secret)}),
      checkServerIdentity: () => undefined,
    });
    const done = () => this.connecting.delete(incarnation);
    const cancel = this.options.clock.after(CONNECT_BOUND_MILLISECONDS, () =>
      // eslint-disable-next-line no-restricted-syntax -- nothing was written
      socket.destroy(),
    );
    socket.once('error', error => {
      connectShortage(error);
      done();
    });
    socket.once('close', () => done());
    socket.once('secureConnect', () => {
      cancel();
      this.adopt(socket);
    });
  }

  private adopt(socket: TLSSocket): void {
    const {clock, self, pulse, fault} = this.options;
    const link = new Link(socket, clock, {
      hello: () => self,
      pulse,
      period: () =>
        Math.max(
          HEARTBEAT_MILLISECONDS,
          this.peers.size * HEARTBEAT_MILLISECONDS_PER_PEER,
        ),
      fault,
      up: (up, hello) => this.linkUp(up, hello),
      message: (from, message) => this.linkMessage(from, message),
      down: lost => this.linkDown(lost),
    });
    this.links.add(link);
  }

  private linkUp(link: Link, hello: Hello): void {
    const former = this.peers.get(hello.incarnation);
    const peer = {hello, link, heartbeat: undefined};
    this.peers.set(hello.incarnation, peer);
    former?.link.close();
    this.options.up(peer);
  }

  private linkMessage(link: Link, message: Message): void {
    const hello = link.peer;
    if (!hello) return;
    if (message.kind === 'heartbeat') {
      this.peers.set(hello.incarnation, {hello, link, heartbeat: message});
    }
    this.options.message(hello, message);
  }

  private linkDown(link: Link): void {
    this.links.delete(link);
    const hello = link.peer;
    if (!hello || this.peers.get(hello.incarnation)?.link !== link) return;
    this.peers.delete(hello.incarnation);
    this.options.down(hello);
  }
}

function identityOf(secret: string): string {
  const digest = createHash('sha256')
    .update(`identity ${secret}`)
    .digest('hex');
  return digest.slice(0, IDENTITY_CHARACTERS);
}

function keyOf(secret: string): Buffer {
  return createHash('sha256').update(`key ${secret}`).digest();
}
