/**
 * Keeps requests away from the endpoints that they would crash, for what is in
 * the request itself or for a part of its prompt. The hosts share what they see:
 * which requests were on endpoints that crashed, and with which suspects an answer
 * has begun after all. All hosts judge the same evidence alike, and pulses bring
 * what is blocked to a host that has missed it.
 */
import {rendezvousRank} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import {acceptsConnections} from '../wire/index.js';
import {BegunReports} from './begunreports.js';
import {
  block,
  EMPTY_BLOCKLIST,
  entriesOf,
  hasRoom,
  isBlocked,
  lift,
  merge,
  requestToYield,
  withoutExpired,
  type Blocklist,
} from './blocklist.js';
import {crashOf, reportOf, reportsOf, suspectsOf} from './crashreport.js';
import {
  CrashDetector,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';
import {
  addCrash,
  clearSuspect,
  crashedWith,
  isSuspected,
  NO_EVIDENCE,
  SUSPICION_MILLISECONDS,
  type Evidence,
  type SuspectedCrash,
} from './evidence.js';
import {
  countCrashes,
  isDoubtful,
  isProperSubset,
  isTooRisky,
  suspectsToBlock,
  type Endpoints,
} from './guilt.js';
import {
  keyFromMessage,
  type BegunSuspect,
  type BlocklistEntry,
  type CrashReport,
} from './message.js';
import {PulseEntries} from './pulseentries.js';
import {
  QuarantineLog,
  type BlockReason,
  type LiftReason,
} from './quarantinelog.js';
import {RecentAnswers} from './recentanswers.js';
import {
  isRequest,
  keyOf,
  suspectOf,
  type RequestTraits,
  type Suspect,
  type SuspectKey,
} from './suspect.js';

/** Age of a crash until which its endpoint is taken for down. */
const RECENT_CRASH_MILLISECONDS = 2_000;
/** Hosts that tell one that has just turned up which crashes they know. */
const HOSTS_TO_INFORM_NEW_ONE = 2;

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
  /** Sends to all other hosts that answers with these suspects have begun. */
  readonly sendBegun: (begun: readonly BegunSuspect[]) => void;
  /** Called with a suspect that is blocked, reviewed or no longer blocked. */
  readonly onChange: (suspect: Suspect) => void;
  /** Called with a suspect from which on no request with it may be sent. */
  readonly onBlocked: (suspect: Suspect) => void;
  /** Whether an endpoint that has cut requests and accepts connections has ended. */
  readonly hasEnded?: (endpoint: KnownEndpoint) => Promise<boolean>;
  /** Called with the incarnation of an endpoint that has just crashed. */
  readonly onEndpointCrashed: (incarnation: string) => void;
}

/** The quarantine of one host. */
export class Quarantine {
  private readonly detector: CrashDetector;
  private evidence: Evidence = NO_EVIDENCE;
  private blocklist: Blocklist = EMPTY_BLOCKLIST;
  /** The endpoints whose crashes a blocked suspect explains. */
  private readonly explanations = new Map<SuspectKey, Endpoints>();
  private readonly begun: BegunReports;
  private readonly log: QuarantineLog;
  private readonly recentAnswers = new RecentAnswers();
  /** Monotonic milliseconds until which a crash may speak against a request. */
  private watchUntil = -Infinity;
  private readonly pulseEntries = new PulseEntries();

  constructor(private readonly options: QuarantineOptions) {
    const {clock, random, hosts, sendBegun: send} = options;
    this.log = new QuarantineLog(options);
    this.detector = new CrashDetector({
      clock,
      accepts: (address, timeout) =>
        acceptsConnections(address, timeout, clock),
      onCrash: crash => this.handleCrash(crash),
      ...(options.hasEnded && {hasEnded: options.hasEnded}),
    });
    const hostCount = () => hosts().length;
    this.begun = new BegunReports({clock, random, hostCount, send});
  }

  /**
   * Returns what a request must not be sent for; undefined if it may. Once in a
   * long while, a request with a blocked suspect is let through on one host, to
   * find out whether endpoints still crash on it.
   *
   * ```ts
   * const suspect = quarantine.blockedSuspect(traits);
   * if (suspect) refuse(`endpoints crash on ${suspect.kind} ${suspect.id}`);
   * ```
   */
  blockedSuspect(traits: RequestTraits): Suspect | undefined {
    if (this.blocklist.size === 0) return undefined;
    this.dropExpired();
    const blocked = traits.keys.filter(key => isBlocked(this.blocklist, key));
    const refused = blocked.find(key => !this.isReviewDue(key));
    if (refused !== undefined) return suspectOf(refused);
    for (const key of blocked) this.startReview(key);
    return undefined;
  }

  /** Whether a request that a crash has cut must not be sent again. */
  isSuspect(traits: RequestTraits): boolean {
    if (!this.isWatching) return false;
    return traits.keys.some(
      key =>
        isBlocked(this.blocklist, key) ||
        isTooRisky(this.evidence, key, this.explanations),
    );
  }

  /**
   * Records a request that an endpoint has cut; the endpoint may have crashed.
   * Resolves when that is known.
   *
   * ```ts
   * await quarantine.recordCut({endpoint, request, traits, sentAt, events: 0});
   * ```
   */
  recordCut(cut: CutRequest): Promise<void> {
    return this.detector.recordCut(cut);
  }

  /** Like `recordCut`, for one whose answer an endpoint has spoiled. */
  recordSpoiled(spoiled: CutRequest): Promise<void> {
    return this.detector.recordSpoiled(spoiled);
  }

  /** Records that an endpoint has ended while it ran nothing of this host. */
  recordEnd(endpoint: KnownEndpoint): void {
    this.detector.recordEnd(endpoint);
  }

  /** Records that an endpoint has begun the answer to a request. */
  recordBegun(traits: RequestTraits): void {
    const now = this.options.clock.monotonic();
    // A digest costs more than a part, and only matters while crashes are recent.
    const keys = this.isWatching ? traits.keys : traits.partKeys;
    for (const key of keys) {
      this.recentAnswers.record(key, now);
      const isKnown = isSuspected(this.evidence, key);
      if (!isKnown && !isBlocked(this.blocklist, key)) continue;
      this.clear(key, now);
      this.begun.add(key, now);
    }
  }

  /** Applies what another host has seen of a crash. */
  handleCrashReport(report: CrashReport): void {
    this.addEvidence(crashOf(report, this.options.clock.monotonic()));
  }

  /** Applies that answers have begun for other hosts. */
  handleBegun(begun: readonly BegunSuspect[]): void {
    const now = this.options.clock.monotonic();
    for (const suspect of begun) {
      const key = keyFromMessage(suspect);
      const begunAt = now - suspect.ago;
      this.clear(key, begunAt);
      this.begun.drop(key, begunAt);
    }
  }

  /** What this host must tell one that has just turned up of earlier crashes. */
  reportsForNewHost(name: string): CrashReport[] {
    const {clock, host, hosts} = this.options;
    const others = hosts().filter(other => other !== name);
    if (rendezvousRank(name, host, others) >= HOSTS_TO_INFORM_NEW_ONE)
      return [];
    return reportsOf(this.evidence, clock.monotonic());
  }

  /** What this host blocks or has blocked. */
  get entries(): BlocklistEntry[] {
    if (this.blocklist.size === 0) return [];
    this.dropExpired();
    return entriesOf(this.blocklist, this.options.clock.monotonic());
  }

  /** Some of the entries for the other hosts, the next ones each time. */
  takeEntriesForPulse(): BlocklistEntry[] {
    return this.pulseEntries.take(this.entries);
  }

  /** Applies what another host blocks. */
  handleEntries(entries: readonly BlocklistEntry[]): void {
    if (entries.length === 0) return;
    const before = this.blocklist;
    const now = this.options.clock.monotonic();
    this.blocklist = merge(before, entries, now);
    if (this.blocklist === before) return;
    for (const key of entries.map(keyFromMessage)) {
      const was = isBlocked(before, key);
      const is = isBlocked(this.blocklist, key);
      if (is && !was) this.handleBlockedElsewhere(key, now);
      if (was && !is) this.handleLifted(key, 'another-host');
    }
  }

  /** Lifts the block of a suspect on all hosts; returns whether it was blocked. */
  lift(suspect: Suspect): boolean {
    return this.liftKey(keyOf(suspect), 'operator');
  }

  /** Whether anything is suspected or blocked. */
  private get isWatching(): boolean {
    if (this.blocklist.size > 0) return true;
    return this.options.clock.monotonic() < this.watchUntil;
  }

  /** Blocks what another host blocks, unless this one knows better. */
  private handleBlockedElsewhere(key: SuspectKey, now: number): void {
    if (this.wasAnswered(key, now)) this.liftKey(key, 'answered');
    else this.handleBlocked(key, 'another-host');
  }

  private liftKey(key: SuspectKey, reason: LiftReason): boolean {
    const before = this.blocklist;
    this.blocklist = lift(before, key, this.options.clock.monotonic());
    if (this.blocklist === before) return false;
    this.evidence = clearSuspect(this.evidence, key, Infinity);
    this.handleLifted(key, reason);
    return true;
  }

  private handleCrash(crash: EndpointCrash): void {
    const {clock, sendCrash} = this.options;
    const {endpoint, at} = crash;
    this.log.crash(crash);
    const suspected = {endpoint, at, suspects: suspectsOf(crash)};
    sendCrash(reportOf(suspected, clock.monotonic()));
    this.addEvidence(suspected);
  }

  private addEvidence(crash: SuspectedCrash): void {
    const {clock, onEndpointCrashed} = this.options;
    const now = clock.monotonic();
    if (now - crash.at < RECENT_CRASH_MILLISECONDS)
      onEndpointCrashed(crash.endpoint);
    this.watchUntil = now + SUSPICION_MILLISECONDS;
    this.evidence = addCrash(this.evidence, crash);
    for (const {key} of crash.suspects) {
      if (this.explanations.has(key))
        this.explanations.set(key, crashedWith(this.evidence, key));
      this.log.suspected(suspectOf(key), this.count(key), crash.endpoint);
    }
    this.judge();
    this.liftExplained();
  }

  /** Blocks what is guilty, until what is blocked explains the rest. */
  private judge(): void {
    const now = this.options.clock.monotonic();
    for (;;) {
      const before = this.explanations.size;
      const guilty = suspectsToBlock(this.evidence, this.explanations).filter(
        key => !this.wasAnswered(key, now),
      );
      const explanations = new Map(this.explanations);
      for (const key of guilty)
        explanations.set(key, crashedWith(this.evidence, key));
      for (const key of guilty)
        this.block(key, isDoubtful(this.evidence, key, explanations));
      if (this.explanations.size === before) return;
    }
  }

  /** Whether an answer with a suspect has begun at this host recently. */
  private wasAnswered(key: SuspectKey, now: number): boolean {
    return this.recentAnswers.has(key, now);
  }

  private block(key: SuspectKey, isDoubtful: boolean): void {
    const team = this.evidence.suspicions.get(key)?.team ?? '';
    const yielding = isRequest(key) && requestToYield(this.blocklist, team);
    if (yielding) this.liftKey(yielding, 'yielded');
    if (!hasRoom(this.blocklist, key)) return this.log.full(suspectOf(key));
    const now = this.options.clock.monotonic();
    this.blocklist = block(this.blocklist, key, now, {team, isDoubtful});
    this.handleBlocked(key, 'crashes');
  }

  /** Lifts what is blocked where another suspect explains its crashes and more. */
  private liftExplained(): void {
    for (const [key, endpoints] of [...this.explanations]) {
      const isExplained = [...this.explanations.values()].some(other =>
        isProperSubset(endpoints, other),
      );
      if (isExplained) this.liftKey(key, 'explained');
    }
  }

  private handleBlocked(key: SuspectKey, reason: BlockReason): void {
    const endpoints = crashedWith(this.evidence, key);
    this.explanations.set(key, endpoints);
    const {team = ''} = this.blocklist.get(key) ?? {};
    const suspect = suspectOf(key);
    this.log.blocked(suspect, {team, reason, crashes: endpoints.size});
    this.options.onChange(suspect);
    this.options.onBlocked(suspect);
  }

  private handleLifted(key: SuspectKey, reason: LiftReason): void {
    this.explanations.delete(key);
    this.log.lifted(suspectOf(key), reason);
    this.options.onChange(suspectOf(key));
  }

  /** Applies that an answer with a suspect has begun. */
  private clear(key: SuspectKey, begunAt: number): void {
    const crashes = this.count(key);
    this.evidence = clearSuspect(this.evidence, key, begunAt);
    this.liftKey(key, 'answered');
    if (isSuspected(this.evidence, key)) return;
    this.log.cleared(suspectOf(key), crashes);
  }

  /**
   * Whether a request with a blocked suspect may be tried now. Only one host may,
   * so that a single request is tried.
   */
  private isReviewDue(key: SuspectKey): boolean {
    const {clock, host, hosts} = this.options;
    const {reviewAt = Infinity} = this.blocklist.get(key) ?? {};
    if (clock.monotonic() < reviewAt) return false;
    return rendezvousRank(suspectOf(key).id, host, hosts()) === 0;
  }

  /** Blocks a suspect further, until the one request that is tried succeeds. */
  private startReview(key: SuspectKey): void {
    const now = this.options.clock.monotonic();
    this.blocklist = block(this.blocklist, key, now);
    this.log.reviewed(suspectOf(key));
    this.options.onChange(suspectOf(key));
  }

  private count(key: SuspectKey): number {
    return countCrashes(this.evidence, key, this.explanations);
  }

  private dropExpired(): void {
    const now = this.options.clock.monotonic();
    const before = this.blocklist;
    this.blocklist = withoutExpired(before, now);
    if (this.blocklist === before) return;
    for (const key of this.explanations.keys()) {
      if (!this.blocklist.has(key)) this.explanations.delete(key);
    }
  }
}
