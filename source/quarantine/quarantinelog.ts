/** The log lines and metrics of a quarantine. */
import type {Fields, Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EndpointCrash} from './detector.js';
import {CRASHES_TO_SUSPECT} from './guilt.js';
import type {Suspect} from './suspect.js';

/** Requests that a line about a crash names at most. */
const MAX_LOGGED_REQUESTS = 8;

/** Why a suspect is blocked. */
export type BlockReason = 'crashes' | 'another-host';

/** Why a suspect is not blocked any more. */
export type LiftReason =
  'answered' | 'explained' | 'yielded' | 'operator' | 'another-host';

/** What a line about a verdict says. */
export interface Verdict {
  /** Name of the team whose request it is; empty for a part. */
  readonly team: string;
  readonly reason: BlockReason;
  /** Endpoints that crashed with the suspect, as far as this host knows. */
  readonly crashes: number;
}

/** What the lines are written with. */
export interface QuarantineLogParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Writes the lines of one host. */
export class QuarantineLog {
  private isFullLogged = false;

  constructor(private readonly parts: QuarantineLogParts) {}

  /** A crash that has cut requests of this host. */
  crash({endpoint, requests}: EndpointCrash): void {
    const {logger, metrics} = this.parts;
    metrics.count('endpoint-crashed');
    const texts = requests
      .slice(0, MAX_LOGGED_REQUESTS)
      .map(({request, traits, events}) => {
        const parts = traits.parts.join(' ');
        return `${request} like ${traits.fingerprint} events ${events} parts ${parts}`;
      });
    logger.warn('endpoint-crashed', {
      endpoint,
      cut: requests.length,
      requests: texts.join(', '),
    });
  }

  /** So many crashes speak against a suspect, the last that of an endpoint. */
  suspected(suspect: Suspect, crashes: number, endpoint: string): void {
    if (crashes < CRASHES_TO_SUSPECT) return;
    const fields = {...fieldsOf(suspect), crashes, endpoint};
    this.parts.logger.info(`${suspect.kind}-suspected`, fields);
  }

  /** An answer speaks for a suspect against which so many crashes spoke. */
  cleared(suspect: Suspect, crashes: number): void {
    if (crashes < CRASHES_TO_SUSPECT) return;
    const fields = {...fieldsOf(suspect), crashes};
    this.parts.logger.info(`${suspect.kind}-cleared`, fields);
  }

  /** A suspect is blocked from now on. */
  blocked(suspect: Suspect, verdict: Verdict): void {
    const {logger, metrics} = this.parts;
    this.isFullLogged = false;
    const {reason} = verdict;
    logger.error(`${suspect.kind}-blocked`, {
      ...fieldsOf(suspect),
      ...verdict,
    });
    metrics.count(`${suspect.kind}-blocked`, {reason});
  }

  /** A suspect is not blocked any more. */
  lifted(suspect: Suspect, reason: LiftReason): void {
    const {logger, metrics} = this.parts;
    logger.warn(`${suspect.kind}-unblocked`, {...fieldsOf(suspect), reason});
    metrics.count(`${suspect.kind}-unblocked`, {reason});
  }

  /** One request with a blocked suspect is let through. */
  reviewed(suspect: Suspect): void {
    this.parts.logger.warn(`${suspect.kind}-reviewed`, fieldsOf(suspect));
  }

  /** A suspect is not blocked since too many are. */
  full(suspect: Suspect): void {
    const {logger, metrics} = this.parts;
    metrics.count('quarantine-full', {kind: suspect.kind});
    if (this.isFullLogged) return;
    this.isFullLogged = true;
    logger.error('quarantine-full', fieldsOf(suspect));
  }
}

/** How log lines name a suspect. */
function fieldsOf({kind, id}: Suspect): Fields {
  return kind === 'part' ? {part: id} : {fingerprint: id};
}
