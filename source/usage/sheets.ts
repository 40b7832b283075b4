/**
 * The usage sheets that a host keeps. A sheet holds the cumulative usage that
 * one process has counted in one window, with a sequence number. An update of a
 * sheet carries only the teams that changed since an earlier sequence. Applying
 * an update twice changes nothing, and one that builds on a sequence not
 * received here is ignored until a full one arrives.
 */
import type {Sheet} from '../platform/index.js';
import {
  usageByTeam,
  addUsage,
  subtractUsage,
  type UsageByTeam,
  type TeamUsage,
} from './totals.js';
import {frozenWindow, type UsageLedger} from './ledger.js';

/** A sheet of this process. */
interface OwnSheet {
  readonly figures: Map<string, TeamUsage>;
  sequence: number;
  sealed: boolean;
  /** Sequence of the last incremental update; 0 for none. */
  lastUpdateSequence: number;
  /** Teams that changed since the last incremental update. */
  readonly changed: Set<string>;
  /**
   * Figures at each recent sequence that another host may have received or that
   * a freeze may include.
   */
  readonly figuresBySequence: Map<number, UsageByTeam>;
}

/**
 * The sheet of another process, as far as it was received. `exportReplicas`
 * sends these fields under the same names.
 */
interface SheetReplica {
  readonly window: number;
  readonly incarnation: string;
  sequence: number;
  sealed: boolean;
  readonly figures: Map<string, TeamUsage>;
}

/** The state of one process’s sheet, as a freeze needs it. */
export interface SheetState {
  readonly incarnation: string;
  readonly sequence: number;
  readonly sealed: boolean;
  readonly figures: UsageByTeam;
}

/** Sequences of a sheet whose figures are kept. */
const MAX_SEQUENCES_KEPT = 16;

/** The sheets of a host: its own, and replicas of those of other processes. */
export class UsageSheets {
  private readonly ownSheets = new Map<number, OwnSheet>();
  private readonly replicas = new Map<string, SheetReplica>();

  constructor(
    private readonly region: string,
    private readonly incarnation: string,
  ) {}

  /** Adds usage to this host's sheet of a window. */
  add(window: number, {team, requests, tokens}: TeamUsage): void {
    const own = this.ensureOwnSheet(window);
    const existing = own.figures.get(team);
    own.figures.set(team, {
      team,
      requests: (existing?.requests ?? 0) + requests,
      tokens: (existing?.tokens ?? 0) + tokens,
    });
    own.changed.add(team);
    own.sequence++;
  }

  /** Creates the sheet of a window, so that it exists even without usage. */
  ensureSheet(window: number): void {
    this.ensureOwnSheet(window);
  }

  /** Seals this host's sheets of all windows before `window`. */
  sealBefore(window: number): void {
    for (const [ownWindow, own] of this.ownSheets) {
      if (ownWindow >= window || own.sealed) continue;
      own.sealed = true;
      own.sequence++;
    }
  }

  /**
   * Updates of this host's sheets for other hosts. Incremental ones carry what
   * has changed since the last incremental updates, and only for sheets that
   * changed; full ones carry everything, and do not affect the next incremental
   * ones.
   *
   * ```ts
   * for (const sheet of sheets.takeUpdates(false)) link.send(sheet);
   * ```
   */
  takeUpdates(full: boolean): Sheet[] {
    const updates: Sheet[] = [];
    for (const [window, own] of this.ownSheets) {
      if (!full && own.sequence === own.lastUpdateSequence) continue;
      const since = full ? 0 : own.lastUpdateSequence;
      const teams = since === 0 ? [...own.figures.keys()] : [...own.changed];
      updates.push(this.createUpdate(window, own, since, teams));
      recordFigures(own);
      if (full) continue;
      own.lastUpdateSequence = own.sequence;
      own.changed.clear();
    }
    return updates;
  }

  /**
   * Applies an update of another process's sheet. Ignores updates that are not
   * newer than the replica, that build on a sequence not received here, or that
   * are for another region or this process's own sheet.
   */
  applyUpdate(sheet: Sheet): void {
    if (sheet.region !== this.region || sheet.incarnation === this.incarnation)
      return;
    const key = `${sheet.window} ${sheet.incarnation}`;
    const existing = this.replicas.get(key);
    if (existing && sheet.sequence <= existing.sequence) return;
    if (sheet.since > (existing?.sequence ?? 0)) return;
    const {window, incarnation, sequence, sealed, figures} = sheet;
    const replica = existing ?? {
      window,
      incarnation,
      sequence,
      sealed,
      figures: new Map<string, TeamUsage>(),
    };
    replica.sequence = sequence;
    replica.sealed = sealed;
    for (const figure of figures) replica.figures.set(figure.team, figure);
    this.replicas.set(key, replica);
  }

  /**
   * All known sheets of a window, including this host's own. Keeps this host's
   * figures as they are now, since a freeze may include them.
   */
  sheetsFor(window: number): SheetState[] {
    const sheets: SheetState[] = [];
    const own = this.ownSheets.get(window);
    if (own) {
      recordFigures(own);
      const {sequence, sealed} = own;
      const figures = new Map(own.figures);
      sheets.push({incarnation: this.incarnation, sequence, sealed, figures});
    }
    for (const replica of this.replicas.values()) {
      if (replica.window === window) sheets.push(replica);
    }
    return sheets;
  }

  /** Windows before `window` that have a sheet, in ascending order. */
  windowsBefore(window: number): number[] {
    const replicaWindows = [...this.replicas.values()].map(
      replica => replica.window,
    );
    const windows = new Set([...this.ownSheets.keys(), ...replicaWindows]);
    return [...windows].filter(known => known < window).sort((a, b) => a - b);
  }

  /** Full updates of other processes' sheets, for a host that lacks them. */
  exportReplicas(): Sheet[] {
    const {region} = this;
    return [...this.replicas.values()].map(replica => ({
      ...replica,
      region,
      since: 0,
      figures: [...replica.figures.values()],
    }));
  }

  /**
   * Removes the sheets of frozen windows. Usage of this host that a freeze left
   * out is carried over to `currentWindow`, so that nothing is lost and nothing
   * is counted twice. If the figures that the freeze included are no longer
   * kept, nothing is carried over. Returns the number of tokens carried over.
   */
  carryOver(ledger: UsageLedger, currentWindow: number): number {
    for (const [key, {window}] of this.replicas) {
      if (frozenWindow(ledger, this.region, window)) this.replicas.delete(key);
    }
    let carriedTokens = 0;
    for (const [window, own] of [...this.ownSheets]) {
      const frozen = frozenWindow(ledger, this.region, window);
      if (!frozen || window === currentWindow) continue;
      const included = frozen.includes.find(
        ({incarnation}) => incarnation === this.incarnation,
      );
      const frozenFigures =
        included && own.figuresBySequence.get(included.sequence);
      const isUnknown = included !== undefined && frozenFigures === undefined;
      const leftOut = isUnknown
        ? new Map<string, TeamUsage>()
        : subtractUsage(own.figures, frozenFigures ?? new Map());
      this.ownSheets.delete(window);
      for (const figure of leftOut.values()) {
        this.add(currentWindow, figure);
        carriedTokens += figure.tokens;
      }
    }
    return carriedTokens;
  }

  /** Removes the sheets of all windows before `window`, frozen or not. */
  removeBefore(window: number): void {
    for (const ownWindow of [...this.ownSheets.keys()]) {
      if (ownWindow < window) this.ownSheets.delete(ownWindow);
    }
    for (const [key, replica] of [...this.replicas]) {
      if (replica.window < window) this.replicas.delete(key);
    }
  }

  /** This host's sheet of a window, created if there is none. */
  private ensureOwnSheet(window: number): OwnSheet {
    let own = this.ownSheets.get(window);
    if (!own) {
      own = {
        figures: new Map(),
        sequence: 0,
        sealed: false,
        lastUpdateSequence: 0,
        changed: new Set(),
        figuresBySequence: new Map(),
      };
      this.ownSheets.set(window, own);
    }
    return own;
  }

  private createUpdate(
    window: number,
    own: OwnSheet,
    since: number,
    teams: readonly string[],
  ): Sheet {
    const {region, incarnation} = this;
    const {sequence, sealed} = own;
    const figures = teams.flatMap(team => own.figures.get(team) ?? []);
    return {region, window, incarnation, sequence, since, sealed, figures};
  }
}

/** Keeps a sheet's figures at its current sequence. */
function recordFigures({figuresBySequence, sequence, figures}: OwnSheet): void {
  figuresBySequence.set(sequence, new Map(figures));
  const [oldest] = figuresBySequence.keys();
  if (figuresBySequence.size > MAX_SEQUENCES_KEPT && oldest !== undefined)
    figuresBySequence.delete(oldest);
}

/** The total usage of sheets, by team. */
export function sumUsage(sheets: readonly SheetState[]): UsageByTeam {
  return sheets.reduce(
    (sum: UsageByTeam, {figures}) => addUsage(sum, figures),
    usageByTeam([]),
  );
}
