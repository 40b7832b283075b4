/**
 * Keeps requests away from the endpoints that would crash on a part of their
 * prompt. The hosts share what they see: which parts were on endpoints that
 * crashed, and with which of these an answer has begun after all. All hosts judge
 * the same evidence alike, and pulses bring the blocked parts to a host that has
 * missed it.
 */
import {rendezvousRank} from '../balance/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import {acceptsConnections} from '../wire/index.js';
import {
  block,
  EMPTY_BLOCKLIST,
  entriesOf,
  hasRoom,
  isBlocked,
  lift,
  merge,
  withoutExpired,
  type Blocklist,
} from './blocklist.js';
import {
  CrashDetector,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';
import {
  addCrash,
  clearPart,
  countCrashes,
  crashedWith,
  CRASHES_TO_SUSPECT,
  NO_EVIDENCE,
  isSuspected,
  partToBlock,
  type Evidence,
  type Suspect,
} from './evidence.js';
import {
  MAX_REPORTED_SUSPECTS,
  type BegunPart,
  type BlocklistEntry,
  type CrashReport,
} from './message.js';

import {RecentAnswers} from './recentanswers.js';

/** Requests that a line about a crash names at most. */
const MAX_LOGGED_REQUESTS = 8;
/**
 * For each host, milliseconds over which hosts spread the news that a part is
 * sound: most of them then hear it from another before they would tell it.
 */
const CLEARING_SPREAD_MILLISECONDS_PER_HOST = 2;

/** Why a part is not blocked any more. */
export type LiftReason = 'answered' | 'explained' | 'operator' | 'another-host';

/** Dependencies of a quarantine. */
export interface QuarantineOptions {
  /** The name of this host. */
  readonly host: string;
  /** The names of the hosts that are alive, this one among them. */
  readonly hosts: () => readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Sends what this host has seen of a crash to all other hosts. */
  readonly sendCrash: (report: CrashReport) => void;
  /** Sends to all other hosts that answers with these parts have begun. */
  readonly sendBegun: (parts: readonly BegunPart[]) => void;
  /** Called with a part from which on no request with it may be sent. */
  readonly onBlocked: (part: string) => void;
}

/** The quarantine of one host. */
export class Quarantine {
  private readonly detector: CrashDetector;
  private evidence: Evidence = NO_EVIDENCE;
  private blocklist: Blocklist = EMPTY_BLOCKLIST;
  /** The endpoints whose crashes a blocked part explains, by part. */
  private readonly explanations = new Map<string, ReadonlySet<string>>();
  /** Monotonic milliseconds of begun answers that are still to be sent. */
  private readonly unsentBegun = new Map<string, number>();
  private stopSending: Cancel | undefined;
  private isFullLogged = false;
  private readonly recentAnswers = new RecentAnswers();

  constructor(private readonly options: QuarantineOptions) {
    const {clock} = options;
    this.detector = new CrashDetector({
      clock,
      accepts: (address, timeout) =>
        acceptsConnections(address, timeout, clock),
      onCrash: crash => this.handleCrash(crash),
    });
  }

  /**
   * Returns the part for which a request must not be sent; undefined if it may.
   * Once in a long while, a request with a blocked part is let through on one
   * host, to find out whether endpoints still crash on it.
   *
   * ```ts
   * const part = quarantine.blockedPart(['5c1e07a2', '91bd3f06']);
   * if (part !== undefined) refuse(`engines crash on ${part}`);
   * ```
   */
  blockedPart(parts: readonly string[]): string | undefined {
    if (this.blocklist.size === 0) return undefined;
    this.dropExpired();
    const blocked = parts.filter(part => isBlocked(this.blocklist, part));
    const refused = blocked.find(part => !this.isReviewDue(part));
    if (refused !== undefined) return refused;
    for (const part of blocked) this.startReview(part);
    return undefined;
  }

  /** Whether a request that a crash has cut must not be sent again. */
  isSuspect(parts: readonly string[]): boolean {
    return parts.some(
      part =>
        isBlocked(this.blocklist, part) ||
        this.count(part) >= CRASHES_TO_SUSPECT,
    );
  }

  /**
   * Records a request that an endpoint has cut; the endpoint may have crashed.
   * Resolves when that is known.
   *
   * ```ts
   * await quarantine.recordCut({endpoint, request, parts, sentAt, events: 0});
   * ```
   */
  recordCut(cut: CutRequest): Promise<void> {
    return this.detector.recordCut(cut);
  }

  /** Records that an endpoint has begun the answer to a request with parts. */
  recordBegun(parts: readonly string[]): void {
    const now = this.options.clock.monotonic();
    for (const part of parts) {
      this.recentAnswers.record(part, now);
      const isKnown = isSuspected(this.evidence, part);
      if (!isKnown && !isBlocked(this.blocklist, part)) continue;
      this.clear(part, now);
      this.unsentBegun.set(part, now);
    }
    if (this.unsentBegun.size > 0) this.sendBegunSoon();
  }

  /** Applies what another host has seen of a crash. */
  handleCrashReport({endpoint, ago, suspects}: CrashReport): void {
    const now = this.options.clock.monotonic();
    const known = suspects.map(({part, sentAgo, position}) => {
      return {part, sentAt: now - sentAgo, position};
    });
    this.addEvidence(endpoint, now - ago, known);
  }

  /** Applies that answers have begun for other hosts. */
  handleBegun(parts: readonly BegunPart[]): void {
    const now = this.options.clock.monotonic();
    for (const {part, ago} of parts) {
      const begunAt = now - ago;
      this.clear(part, begunAt);
      const unsentAt = this.unsentBegun.get(part) ?? Infinity;
      if (unsentAt <= begunAt) this.unsentBegun.delete(part);
    }
  }

  /** What this host blocks or has blocked, for the other hosts. */
  get entries(): BlocklistEntry[] {
    if (this.blocklist.size === 0) return [];
    this.dropExpired();
    return entriesOf(this.blocklist, this.options.clock.monotonic());
  }

  /** Applies what another host blocks. */
  handleEntries(entries: readonly BlocklistEntry[]): void {
    if (entries.length === 0) return;
    const before = this.blocklist;
    const now = this.options.clock.monotonic();
    this.blocklist = merge(before, entries, now);
    if (this.blocklist === before) return;
    for (const {part} of entries) {
      const was = isBlocked(before, part);
      const is = isBlocked(this.blocklist, part);
      if (is && !was) this.handleBlockedElsewhere(part, now);
      if (was && !is) this.handleLifted(part, 'another-host');
    }
  }

  /** Blocks what another host blocks, unless this one knows better. */
  private handleBlockedElsewhere(part: string, now: number): void {
    if (this.recentAnswers.has(part, now)) this.lift(part, 'answered');
    else this.handleBlocked(part, 'another-host');
  }

  /**
   * Lifts the block of a part on all hosts, as when the software of the endpoints
   * has been mended. Returns whether it was blocked.
   */
  lift(part: string, reason: LiftReason = 'operator'): boolean {
    const before = this.blocklist;
    this.blocklist = lift(before, part, this.options.clock.monotonic());
    if (this.blocklist === before) return false;
    this.evidence = clearPart(this.evidence, part, Infinity);
    this.handleLifted(part, reason);
    return true;
  }

  private handleCrash({endpoint, at, requests}: EndpointCrash): void {
    const {clock, metrics, sendCrash} = this.options;
    this.logCrash(endpoint, requests);
    metrics.count('endpoint-crashed');
    const suspects = suspectsOf(requests);
    const now = clock.monotonic();
    sendCrash({
      endpoint,
      ago: now - at,
      suspects: suspects.map(({part, sentAt, position}) => {
        return {part, sentAgo: now - sentAt, position};
      }),
    });
    this.addEvidence(endpoint, at, suspects);
  }

  private addEvidence(
    endpoint: string,
    at: number,
    suspects: readonly Suspect[],
  ): void {
    this.evidence = addCrash(this.evidence, {endpoint, at, suspects});
    for (const {part} of suspects) {
      if (this.explanations.has(part))
        this.explanations.set(part, crashedWith(this.evidence, part));
      const crashes = this.count(part);
      if (crashes < CRASHES_TO_SUSPECT) continue;
      this.options.logger.info('part-suspected', {part, crashes, endpoint});
    }
    const part = partToBlock(this.evidence, this.explained());
    if (part === undefined) return;
    if (this.recentAnswers.has(part, this.options.clock.monotonic())) return;
    this.block(part);
  }

  /** Blocks a part, and lifts the parts whose crashes it explains as well. */
  private block(part: string): void {
    if (!hasRoom(this.blocklist)) return this.logFull(part);
    const now = this.options.clock.monotonic();
    const endpoints = crashedWith(this.evidence, part);
    for (const [other, explained] of this.explanations) {
      if (other === part || explained.size === 0) continue;
      if ([...explained].every(id => endpoints.has(id)))
        this.lift(other, 'explained');
    }
    this.blocklist = block(this.blocklist, part, now);
    this.handleBlocked(part, 'crashes');
  }

  private handleBlocked(part: string, reason: string): void {
    const {logger, metrics, onBlocked} = this.options;
    const endpoints = crashedWith(this.evidence, part);
    this.explanations.set(part, endpoints);
    this.isFullLogged = false;
    logger.error('part-blocked', {part, reason, crashes: endpoints.size});
    metrics.count('part-blocked', {reason});
    onBlocked(part);
  }

  private handleLifted(part: string, reason: LiftReason): void {
    const {logger, metrics} = this.options;
    this.explanations.delete(part);
    logger.warn('part-unblocked', {part, reason});
    metrics.count('part-unblocked', {reason});
  }

  /** Applies that an answer with a part has begun. */
  private clear(part: string, begunAt: number): void {
    const crashes = this.count(part);
    this.evidence = clearPart(this.evidence, part, begunAt);
    this.lift(part, 'answered');
    if (crashes < CRASHES_TO_SUSPECT) return;
    if (isSuspected(this.evidence, part)) return;
    this.options.logger.info('part-cleared', {part, crashes});
  }

  /**
   * Whether a request with a blocked part may be tried now. Only one host may, so
   * that a single request is tried.
   */
  private isReviewDue(part: string): boolean {
    const {clock, host, hosts} = this.options;
    const {reviewAt = Infinity} = this.blocklist.get(part) ?? {};
    if (clock.monotonic() < reviewAt) return false;
    return rendezvousRank(part, host, hosts()) === 0;
  }

  /** Blocks a part further, until the one request that is tried succeeds. */
  private startReview(part: string): void {
    const {clock, logger} = this.options;
    this.blocklist = block(this.blocklist, part, clock.monotonic());
    logger.warn('part-reviewed', {part});
  }

  private count(part: string): number {
    return countCrashes(this.evidence, part, this.explained(part));
  }

  /** The endpoints whose crashes blocked parts explain, other than `part`. */
  private explained(part?: string): ReadonlySet<string> {
    const explained = new Set<string>();
    for (const [other, endpoints] of this.explanations) {
      if (other === part) continue;
      for (const endpoint of endpoints) explained.add(endpoint);
    }
    return explained;
  }

  private sendBegunSoon(): void {
    if (this.stopSending) return;
    const {clock, hosts, random} = this.options;
    const spread = hosts().length * CLEARING_SPREAD_MILLISECONDS_PER_HOST;
    this.stopSending = clock.after(random.next() * spread, () => {
      this.stopSending = undefined;
      this.sendBegun();
    });
  }

  private sendBegun(): void {
    if (this.unsentBegun.size === 0) return;
    const now = this.options.clock.monotonic();
    const parts = [...this.unsentBegun].map(([part, at]) => {
      return {part, ago: now - at};
    });
    this.unsentBegun.clear();
    this.options.sendBegun(parts);
  }

  private dropExpired(): void {
    const now = this.options.clock.monotonic();
    const before = this.blocklist;
    this.blocklist = withoutExpired(before, now);
    if (this.blocklist === before) return;
    for (const part of this.explanations.keys()) {
      if (!this.blocklist.has(part)) this.explanations.delete(part);
    }
  }

  private logCrash(endpoint: string, requests: readonly CutRequest[]): void {
    this.options.logger.warn('endpoint-crashed', {
      endpoint,
      cut: requests.length,
      requests: requests
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(
          ({request, fingerprint, events, parts}) =>
            `${request} like ${fingerprint} events ${events} parts ${parts.join(' ')}`,
        )
        .join(', '),
    });
  }

  private logFull(part: string): void {
    this.options.metrics.count('quarantine-full');
    if (this.isFullLogged) return;
    this.isFullLogged = true;
    this.options.logger.error('quarantine-full', {part});
  }
}

/** The parts of the requests whose answers had not begun, each part once. */
function suspectsOf(requests: readonly CutRequest[]): Suspect[] {
  const suspects = new Map<string, Suspect>();
  for (const {parts, sentAt, events} of requests) {
    if (events > 0) continue;
    for (const [position, part] of parts.entries()) {
      const known = suspects.get(part)?.sentAt ?? -Infinity;
      if (sentAt > known) suspects.set(part, {part, sentAt, position});
    }
  }
  return [...suspects.values()].slice(0, MAX_REPORTED_SUSPECTS);
}
