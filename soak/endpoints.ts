/**
 * The endpoints of a soak, each behind a proxy. One that leaves or crashes is
 * replaced by another. Checks what hosts send to those that leave or want nothing.
 */
import type {
  EdgeFleet,
  HostProcess,
  Line,
} from '../test/support/edgeprocess.js';
import {Backoffs, type SendingHost} from './backoffs.js';
import {BACKOFF_SECONDS, SoakEndpoint, traitsOf} from './endpoint.js';
import type {Ledger} from './ledger.js';
import {FaultyProxy} from './proxy.js';
import {wait} from './wait.js';

const LEAVE_MILLISECONDS = 2_500;
/** Milliseconds that what is under way may take to arrive. */
const FLIGHT_MILLISECONDS = 1_000;

/** The host that has sent a request. */
export interface Sender {
  readonly process: HostProcess;
  /** Disturbances of the host so far. */
  readonly disturbances: number;
}

/** What the endpoints are created from. */
export interface SoakEndpointsOptions {
  readonly fleet: EdgeFleet;
  readonly ledger: Ledger;
  readonly senderOf: (request: string) => Sender;
  /** Called when an endpoint begins to disturb the hosts, and when it no longer does. */
  readonly onTrouble: () => void;
  readonly onCalm: () => void;
  /** Called with what has to end before the soak does. */
  readonly onRepair: (repair: Promise<void>) => void;
}

interface ProxiedEndpoint {
  readonly endpoint: SoakEndpoint;
  readonly proxy: FaultyProxy;
}

/** All endpoints. */
export class SoakEndpoints {
  /** Endpoints that have crashed on deadly requests. */
  crashes = 0;
  private readonly current: ProxiedEndpoint[] = [];
  private readonly backoffs = new Backoffs();
  /** When each host has said that it knows an endpoint to leave. */
  private readonly leaves = new Map<string, number>();
  private count = 0;

  constructor(private readonly options: SoakEndpointsOptions) {}

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index++)
      this.current.push(await this.create());
  }

  stop(): void {
    for (const {endpoint, proxy} of this.current) {
      endpoint.stop();
      proxy.stop();
    }
  }

  /** The proxy before an endpoint. */
  proxy(index: number): FaultyProxy {
    return this.at(index).proxy;
  }

  /** An endpoint leaves, says so in its answers and its entry, and is replaced. */
  async leave(index: number): Promise<void> {
    const {endpoint, proxy} = this.at(index);
    const {id} = endpoint;
    this.current[index] = await this.create();
    endpoint.isLeaving = true;
    this.options.fleet.enter(id, proxy.address, 'draining', 'v1', 2);
    await wait(LEAVE_MILLISECONDS);
    this.remove({endpoint, proxy});
  }

  /** An endpoint crashes, and is replaced. */
  async crash(index: number): Promise<void> {
    const {onTrouble, onCalm} = this.options;
    const {endpoint, proxy} = this.at(index);
    this.current[index] = await this.create();
    onTrouble();
    endpoint.stop();
    await wait(LEAVE_MILLISECONDS);
    onCalm();
    this.remove({endpoint, proxy});
  }

  private remove({endpoint, proxy}: ProxiedEndpoint): void {
    this.options.fleet.remove(endpoint.id);
    endpoint.stop();
    proxy.stop();
  }

  private async create(): Promise<ProxiedEndpoint> {
    const {ledger, fleet} = this.options;
    const number = this.count++;
    const id = `register-${number}`;
    const endpoint = new SoakEndpoint(id, traitsOf(number), {
      onArrived: arrived =>
        ledger.arrive({...arrived, left: this.hasLeft(id, arrived.id)}),
      onReceived: request => this.checkBackoff(id, request),
      onBackoff: request => this.beginBackoff(id, request),
      onCrash: () => this.handleCrash(id),
    });
    await endpoint.start();
    const proxy = new FaultyProxy(endpoint.address);
    await proxy.start();
    fleet.enter(id, proxy.address, 'ready');
    return {endpoint, proxy};
  }

  /** An endpoint has crashed on a request; its proxy goes with it. */
  private handleCrash(id: string): void {
    const index = this.current.findIndex(({endpoint}) => endpoint.id === id);
    this.crashes++;
    if (index < 0) return;
    this.proxy(index).stop();
    this.options.onRepair(this.crash(index));
  }

  /** An endpoint has turned a request away; a host that has cut it hears nothing. */
  private beginBackoff(endpoint: string, request: string): void {
    if (!this.options.ledger.isAwaited(request)) return;
    const sender = this.sendingHost(request, endpoint);
    const duration = BACKOFF_SECONDS * 1_000;
    this.backoffs.begin(sender, request, duration, performance.now());
  }

  private checkBackoff(endpoint: string, request: string): void {
    const sender = this.sendingHost(request, endpoint);
    const {process} = this.options.senderOf(request);
    const cause = this.backoffs.turnedAway(sender);
    if (!cause || !hasHeard(process.lines, endpoint, cause, request)) return;
    if (!this.backoffs.arrive(sender, performance.now())) return;
    const detail = `${request} at ${endpoint}`;
    this.options.ledger.broken('endpoint-is-left-alone', detail);
  }

  private sendingHost(request: string, endpoint: string): SendingHost {
    const {process, disturbances} = this.options.senderOf(request);
    return {process: process.child.pid ?? 0, endpoint, disturbances};
  }

  /**
   * Whether a host has sent a request after it had said that an endpoint leaves:
   * by the order of its own lines where it logs the send, else by the time.
   */
  private hasLeft(endpoint: string, request: string): boolean {
    const {process} = this.options.senderOf(request);
    const said = process.lines.findIndex(line => saysLeaving(line, endpoint));
    if (said < 0) return false;
    const sent = process.lines.findLastIndex(
      ({event, fields}) =>
        event === 'request-sent' &&
        fields['request'] === request &&
        fields['endpoint'] === endpoint,
    );
    if (sent >= 0) return sent > said;
    const key = `${process.child.pid} ${endpoint}`;
    const now = performance.now();
    const since = this.leaves.get(key) ?? now;
    this.leaves.set(key, since);
    return now - since > FLIGHT_MILLISECONDS;
  }

  private at(index: number): ProxiedEndpoint {
    const found = this.current[index];
    if (!found) throw new RangeError(`no endpoint ${index}`);
    return found;
  }
}

/**
 * Whether a host has said that an endpoint turned a request of it away, and that
 * before it sent another one there where it logs the send.
 */
export function hasHeard(
  lines: readonly Line[],
  endpoint: string,
  turnedAway: string,
  sent: string,
): boolean {
  const indexOf = (name: string, request: string) =>
    lines.findLastIndex(
      ({event, fields}) =>
        event === name &&
        fields['request'] === request &&
        fields['endpoint'] === endpoint,
    );
  const heardAt = indexOf('attempt-failed', turnedAway);
  const sentAt = indexOf('request-sent', sent);
  return heardAt >= 0 && (sentAt < 0 || sentAt > heardAt);
}

/** Whether a line says that a host knows an endpoint to leave. */
function saysLeaving({event, fields}: Line, endpoint: string): boolean {
  if (event === 'endpoint-leaving') return fields['endpoint'] === endpoint;
  const {state} = fields;
  const isGone = state === 'leaving' || state === 'gone';
  return event === 'endpoint' && fields['id'] === endpoint && isGone;
}
