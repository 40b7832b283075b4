/** What the leader knows from the hosts' reports on one roll-out. */
import {evidenceSince, sumEvidence, type Evidence} from './evidence.js';
import type {HostProgress, Observation} from './decide.js';
import type {RolloutReport} from './message.js';
import {EvidenceWindows} from './windows.js';

/** Time that counts as recent: long enough for the answers of a small share. */
const RECENT_MILLISECONDS = 3_000;
/** Reports of a host that has been silent for longer confirm nothing. */
const HEARD_MILLISECONDS = 1_500;
/** Incarnations of hosts whose counts are kept; those of others are added up. */
const MAX_REPORTERS = 1_024;

interface Reporter {
  readonly report: RolloutReport;
  readonly heardAt: number;
}

interface Snapshot {
  readonly at: number;
  readonly evidence: Evidence;
  readonly all: number;
}

/** The newest report of each incarnation of a host; monotonic milliseconds. */
export class RolloutReports {
  private readonly reporters = new Map<string, Reporter>();
  private readonly windows = new EvidenceWindows();
  private snapshots: readonly Snapshot[] = [];

  /** `floor` is what was sent by hosts that may be gone. */
  constructor(private readonly floor: {to: number; all: number}) {}

  /** Takes a report; one that is older than the known one changes nothing. */
  add(incarnation: string, report: RolloutReport, now: number): void {
    const known = this.reporters.get(incarnation);
    if (known && known.report.stamp > report.stamp) return;
    if (!known && this.reporters.size >= MAX_REPORTERS) return;
    this.reporters.set(incarnation, {report, heardAt: now});
  }

  /** The stamp of a host's newest report. */
  stampOf(incarnation: string): number | undefined {
    return this.reporters.get(incarnation)?.report.stamp;
  }

  /** Longest time for which a host has known the order. */
  get knownFor(): number {
    let longest = 0;
    for (const {report} of this.reporters.values())
      longest = Math.max(longest, report.knownFor);
    return longest;
  }

  /** How the roll-out has ended, if a host knows it. */
  get knownEnd(): 'completed' | 'reverted' | undefined {
    for (const {report} of this.reporters.values()) {
      const {phase} = report;
      if (phase === 'completed' || phase === 'reverted') return phase;
    }
    return undefined;
  }

  /** The sum of what the hosts have seen. */
  get evidence(): Evidence {
    const reports = [...this.reporters.values()].map(({report}) => report);
    return sumEvidence(reports.map(({evidence}) => evidence));
  }

  /** What the reports show; `present` are the hosts that must confirm. */
  observe(
    present: readonly string[],
    now: number,
  ): Pick<
    Observation,
    'evidence' | 'recent' | 'windows' | 'sent' | 'rate' | 'hosts' | 'stopped'
  > {
    const reports = [...this.reporters.values()].map(({report}) => report);
    const evidence = sumEvidence(reports.map(report => report.evidence));
    const to = sum(reports.map(({sent}) => sent.to));
    const all = sum(reports.map(({sent}) => sent.all));
    const before = this.snapshotBefore(now);
    this.remember({at: now, evidence, all});
    this.windows.update(evidence, now);
    return {
      evidence,
      recent: before ? evidenceSince(evidence, before.evidence) : [],
      windows: this.windows.of(evidence),
      sent: {
        to: Math.max(to, this.floor.to),
        all: Math.max(all, this.floor.all),
      },
      rate:
        before && now > before.at
          ? Math.max(all - before.all, 0) / (now - before.at)
          : undefined,
      hosts: present.map(name => this.progressOf(name, now)),
      stopped: reports.filter(({isStopped}) => isStopped).length,
    };
  }

  private progressOf(incarnation: string, now: number): HostProgress {
    const known = this.reporters.get(incarnation);
    if (!known) return {phase: undefined, others: 0, isHeard: false};
    const {report, heardAt} = known;
    return {
      phase: report.phase,
      others: report.others,
      isHeard: now - heardAt < HEARD_MILLISECONDS,
    };
  }

  private snapshotBefore(now: number): Snapshot | undefined {
    return (
      [...this.snapshots]
        .reverse()
        .find(({at}) => now - at >= RECENT_MILLISECONDS) ?? this.snapshots[0]
    );
  }

  private remember(snapshot: Snapshot): void {
    const old = this.snapshots.filter(
      ({at}) => snapshot.at - at >= RECENT_MILLISECONDS,
    );
    const kept = Math.max(old.length - 1, 0);
    this.snapshots = [...this.snapshots.slice(kept), snapshot];
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
