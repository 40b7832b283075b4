/**
 * Tells a crash of an endpoint from a connection that broke for another reason.
 * An endpoint that closes a connection without having finished its answer may
 * have crashed; if it then accepts no connection, it has. The requests that
 * were cut at the same endpoint are gathered into one crash.
 */
import type {Clock} from '../clock/index.js';
import {endpointIncarnation, type KnownEndpoint} from '../directory/index.js';
import type {RequestTraits} from './suspect.js';

/** Milliseconds within which an endpoint that is alive accepts a connection. */
const ACCEPT_TIMEOUT_MILLISECONDS = 250;
/**
 * Milliseconds after which an endpoint that has spoiled an answer is looked at: one
 * that crashes does so as it writes.
 */
const SPOILED_CHECK_DELAY_MILLISECONDS = 100;
/**
 * Milliseconds after which one that accepted a connection is looked at again: its
 * connections may be closed before its port is, and it may be back at once.
 */
const SECOND_CHECK_DELAY_MILLISECONDS = 100;
/** Milliseconds after a crash within which its requests are noticed. */
const LATE_NOTICE_MILLISECONDS = 2_000;
/** Crashes that are remembered for that. */
const MAX_KNOWN_CRASHES = 64;

/** A request whose answer an endpoint did not finish. */
export interface CutRequest {
  readonly endpoint: KnownEndpoint;
  /** Id of the caller's attempt. */
  readonly request: string;
  readonly traits: RequestTraits;
  /** Monotonic milliseconds at which it was sent to the endpoint. */
  readonly sentAt: number;
  /** Events of its answer that this host has received, from any endpoint. */
  readonly events: number;
}

/** The end of one incarnation of an endpoint, as one host sees it. */
export interface EndpointCrash {
  /** Identifies the incarnation of the endpoint. */
  readonly endpoint: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Requests of this host that were cut by it. */
  readonly requests: readonly CutRequest[];
}

/** Dependencies of a detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  /** Resolves with whether an address accepts a connection in time. */
  readonly accepts: (address: string, timeout: number) => Promise<boolean>;
  /**
   * Called with each crash, and once more with each request that is found later
   * to have been cut by it.
   */
  readonly onCrash: (crash: EndpointCrash) => void;
  /**
   * Resolves with whether an endpoint that has just accepted a connection has
   * ended after all, or is another incarnation.
   */
  readonly hasEnded?: (endpoint: KnownEndpoint) => Promise<boolean>;
}

/** A check whether an endpoint has crashed. */
interface Check {
  /** The requests that it has cut, more while the check is in progress. */
  readonly requests: CutRequest[];
  readonly done: Promise<void>;
}

/** Gathers cut requests by endpoint, and reports those that a crash has cut. */
export class CrashDetector {
  /** The checks in progress, by incarnation. */
  private readonly checks = new Map<string, Check>();
  /** Requests of which it is still open whether a crash cut them, by incarnation. */
  private readonly doubtful = new Map<string, CutRequest[]>();
  /** Monotonic milliseconds of the crashes, by incarnation. */
  private readonly crashes = new Map<string, number>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /**
   * Records a request that an endpoint has cut. Resolves when it is known
   * whether the endpoint has crashed.
   */
  recordCut(cut: CutRequest): Promise<void> {
    const {clock, onCrash} = this.options;
    const endpoint = endpointIncarnation(cut.endpoint.entry);
    const now = clock.monotonic();
    const at = this.crashes.get(endpoint) ?? -Infinity;
    if (now - at < LATE_NOTICE_MILLISECONDS) {
      onCrash({endpoint, at, requests: [cut]});
      return Promise.resolve();
    }
    const check = this.checks.get(endpoint);
    if (check) {
      check.requests.push(cut);
      return check.done;
    }
    const requests = [cut];
    const done = this.check(endpoint, requests, now);
    this.checks.set(endpoint, {requests, done});
    return done;
  }

  /**
   * Records a request to which an endpoint has sent something else than the
   * answer, and whose connection this host has closed. One that goes on accepting
   * connections has not crashed.
   */
  async recordSpoiled(spoiled: CutRequest): Promise<void> {
    const {clock} = this.options;
    await new Promise<void>(resolve => {
      clock.after(SPOILED_CHECK_DELAY_MILLISECONDS, resolve);
    });
    return this.recordCut(spoiled);
  }

  /** Records that an endpoint was found to have ended, though it cut nothing. */
  recordEnd({entry}: KnownEndpoint): void {
    const {clock, onCrash} = this.options;
    const endpoint = endpointIncarnation(entry);
    const at = clock.monotonic();
    if (this.crashes.has(endpoint)) return;
    this.remember(endpoint, at);
    onCrash({endpoint, at, requests: []});
  }

  private async check(
    endpoint: string,
    requests: readonly CutRequest[],
    at: number,
  ): Promise<void> {
    const {accepts, onCrash} = this.options;
    const [first] = requests;
    if (!first) return;
    const {address} = first.endpoint.entry;
    const isUp = await accepts(address, ACCEPT_TIMEOUT_MILLISECONDS);
    this.checks.delete(endpoint);
    if (isUp) {
      // Nobody waits for this: retries go on meanwhile.
      void this.checkAgain(first.endpoint, requests, at);
      return;
    }
    this.remember(endpoint, at);
    onCrash({endpoint, at, requests});
  }

  /** Reports the crash of an endpoint that had ended though it accepted. */
  private async checkAgain(
    known: KnownEndpoint,
    requests: readonly CutRequest[],
    at: number,
  ): Promise<void> {
    const {clock, hasEnded, onCrash} = this.options;
    if (!hasEnded) return;
    const endpoint = endpointIncarnation(known.entry);
    const others = this.doubtful.get(endpoint);
    if (others) return void others.push(...requests);
    const all = [...requests];
    this.doubtful.set(endpoint, all);
    await new Promise<void>(resolve => {
      clock.after(SECOND_CHECK_DELAY_MILLISECONDS, resolve);
    });
    const isOver = await hasEnded(known);
    this.doubtful.delete(endpoint);
    if (!isOver) return;
    this.remember(endpoint, at);
    onCrash({endpoint, at, requests: all});
  }

  private remember(endpoint: string, at: number): void {
    this.crashes.set(endpoint, at);
    if (this.crashes.size <= MAX_KNOWN_CRASHES) return;
    const [oldest] = this.crashes.keys();
    if (oldest !== undefined) this.crashes.delete(oldest);
  }
}
