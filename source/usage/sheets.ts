/**
 * The copies of usage that a host keeps. A sheet is what one process has used
 * in one window, cumulative, with a sequence; a copy carries only the teams
 * that changed since an earlier sequence. Applying a copy twice changes
 * nothing, and one that does not fit is passed over until a full one comes.
 */
import type {Sheet} from '../platform/index.js';
import {
  figuresOf,
  mergeFigures,
  subtractFigures,
  type Figures,
  type TeamFigure,
} from './figures.js';
import {frozenOf, type UsageLedger} from './ledger.js';

interface Own {
  readonly figures: Map<string, TeamFigure>;
  sequence: number;
  sealed: boolean;
  /** Sequence of the last copy, and the teams that changed since. */
  copiedAt: number;
  readonly changed: Set<string>;
  /** Figures as they stood at each sequence that was copied to others. */
  readonly copied: Map<number, Figures>;
}

interface Other {
  readonly window: number;
  readonly incarnation: string;
  sequence: number;
  sealed: boolean;
  readonly figures: Map<string, TeamFigure>;
}

/** What a freeze needs to know of one process’s sheet. */
export interface Copy {
  readonly incarnation: string;
  readonly sequence: number;
  readonly sealed: boolean;
  readonly figures: Figures;
}

/** Sequences of a sheet whose figures are remembered. */
const COPIES_KEPT = 16;

/** The sheets of a host: its own, and its copies of the others'. */
export class UsageSheets {
  private readonly own = new Map<number, Own>();
  private readonly others = new Map<string, Other>();

  constructor(
    private readonly region: string,
    private readonly incarnation: string,
  ) {}

  /** Adds to this host's figures for a window. */
  add(window: number, {team, requests, tokens}: TeamFigure): void {
    const own = this.ownSheet(window);
    const present = own.figures.get(team);
    own.figures.set(team, {
      team,
      requests: (present?.requests ?? 0) + requests,
      tokens: (present?.tokens ?? 0) + tokens,
    });
    own.changed.add(team);
    own.sequence++;
  }

  /** Begins a window, so that it has a sheet though nothing is counted. */
  begin(window: number): void {
    this.ownSheet(window);
  }

  /** Closes this host's figures for all windows before `window`. */
  sealBefore(window: number): void {
    for (const [past, own] of this.own) {
      if (past >= window || own.sealed) continue;
      own.sealed = true;
      own.sequence++;
    }
  }

  /**
   * Copies of this host's sheets for others: what has changed since the last
   * ones, or everything.
   *
   * ```ts
   * for (const sheet of sheets.copies(false)) link.send(sheet);
   * ```
   */
  copies(full: boolean): Sheet[] {
    const sheets: Sheet[] = [];
    for (const [window, own] of this.own) {
      if (!full && own.sequence === own.copiedAt) continue;
      const since = full ? 0 : own.copiedAt;
      const teams = since === 0 ? [...own.figures.keys()] : [...own.changed];
      sheets.push(this.sheetOf(window, own, since, teams));
      remember(own);
      if (full) continue;
      own.copiedAt = own.sequence;
      own.changed.clear();
    }
    return sheets;
  }

  /** Keeps a copy of another process's sheet, if it is newer and fits. */
  receive(sheet: Sheet): void {
    if (sheet.region !== this.region || sheet.incarnation === this.incarnation)
      return;
    const key = `${sheet.window} ${sheet.incarnation}`;
    const present = this.others.get(key);
    if (present && sheet.sequence <= present.sequence) return;
    if (sheet.since > (present?.sequence ?? 0)) return;
    const {window, incarnation, sequence, sealed, figures} = sheet;
    const other = present ?? {
      window,
      incarnation,
      sequence,
      sealed,
      figures: new Map<string, TeamFigure>(),
    };
    other.sequence = sequence;
    other.sealed = sealed;
    for (const figure of figures) other.figures.set(figure.team, figure);
    this.others.set(key, other);
  }

  /** The copies of a window, this host's own among them. */
  of(window: number): Copy[] {
    const copies: Copy[] = [];
    const own = this.own.get(window);
    if (own) {
      remember(own);
      const {sequence, sealed} = own;
      const figures = new Map(own.figures);
      copies.push({incarnation: this.incarnation, sequence, sealed, figures});
    }
    for (const other of this.others.values()) {
      if (other.window === window) copies.push(other);
    }
    return copies;
  }

  /** Windows before `window` that a sheet speaks of, the oldest first. */
  windowsBefore(window: number): number[] {
    const others = [...this.others.values()].map(other => other.window);
    const windows = new Set([...this.own.keys(), ...others]);
    return [...windows].filter(past => past < window).sort((a, b) => a - b);
  }

  /** Copies of other processes' sheets, for a host that has not got them. */
  foreign(): Sheet[] {
    const {region} = this;
    return [...this.others.values()].map(other => ({
      ...other,
      region,
      since: 0,
      figures: [...other.figures.values()],
    }));
  }

  /**
   * Drops the windows that are frozen. What a freeze left out of this host's
   * own figures goes into the window `present`, so that nothing is lost and
   * nothing is counted twice. Answers the tokens that were carried over.
   */
  settle(ledger: UsageLedger, present: number): number {
    for (const [key, {window}] of this.others) {
      if (frozenOf(ledger, this.region, window)) this.others.delete(key);
    }
    let carried = 0;
    for (const [window, own] of [...this.own]) {
      const frozen = frozenOf(ledger, this.region, window);
      if (!frozen || window === present) continue;
      const included = frozen.includes.find(
        ({incarnation}) => incarnation === this.incarnation,
      );
      const counted = included && own.copied.get(included.sequence);
      const forgotten = included !== undefined && counted === undefined;
      const rest = forgotten
        ? new Map<string, TeamFigure>()
        : subtractFigures(own.figures, counted ?? new Map());
      this.own.delete(window);
      for (const figure of rest.values()) {
        this.add(present, figure);
        carried += figure.tokens;
      }
    }
    return carried;
  }

  /** Forgets all windows before `window`, frozen or not. */
  forgetBefore(window: number): void {
    for (const past of [...this.own.keys()]) {
      if (past < window) this.own.delete(past);
    }
    for (const [key, other] of [...this.others]) {
      if (other.window < window) this.others.delete(key);
    }
  }

  private ownSheet(window: number): Own {
    let own = this.own.get(window);
    if (!own) {
      own = {
        figures: new Map(),
        sequence: 0,
        sealed: false,
        copiedAt: 0,
        changed: new Set(),
        copied: new Map(),
      };
      this.own.set(window, own);
    }
    return own;
  }

  private sheetOf(
    window: number,
    own: Own,
    since: number,
    teams: readonly string[],
  ): Sheet {
    const {region, incarnation} = this;
    const {sequence, sealed} = own;
    const figures = teams.flatMap(team => own.figures.get(team) ?? []);
    return {region, window, incarnation, sequence, since, sealed, figures};
  }
}

function remember({copied, sequence, figures}: Own): void {
  copied.set(sequence, new Map(figures));
  const [oldest] = copied.keys();
  if (copied.size > COPIES_KEPT && oldest !== undefined) copied.delete(oldest);
}

/** The sum of copies. */
export function sumOf(copies: readonly Copy[]): Figures {
  return copies.reduce(
    (sum: Figures, {figures}) => mergeFigures(sum, figures),
    figuresOf([]),
  );
}
