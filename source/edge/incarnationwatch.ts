/**
 * Looks at endpoints that close idle connections: one that crashes while it runs
 * nothing cuts no request, and may be back under its id before anybody has tried
 * to reach it. An endpoint may also close a connection because it was idle for
 * long, so it is asked.
 */
import type {Clock} from '../clock/index.js';
import {endpointIncarnation, type KnownEndpoint} from '../directory/index.js';
import type {Quarantine} from '../quarantine/index.js';
import {hasEnded, type StartReports} from './startreports.js';

/** Least milliseconds between two looks at one incarnation. */
const LOOK_INTERVAL_MILLISECONDS = 1_000;
/** Milliseconds after a look that told nothing until the second one. */
const SECOND_LOOK_DELAY_MILLISECONDS = 100;
/** Incarnations whose last look is remembered. */
const MAX_REMEMBERED_LOOKS = 1_000;

/** Dependencies of the watch. */
export interface IncarnationWatchOptions {
  readonly clock: Clock;
  readonly reports: Pick<StartReports, 'stateOf'>;
  /** The endpoints at an address that requests are sent to. */
  readonly endpointsAt: (address: string) => readonly KnownEndpoint[];
  readonly quarantine: Pick<Quarantine, 'recordEnd'>;
}

/** Reports the ends of endpoints that closed idle connections. */
export class IncarnationWatch {
  /** Monotonic milliseconds of the last look, by incarnation. */
  private readonly looks = new Map<string, number>();

  constructor(private readonly options: IncarnationWatchOptions) {}

  /** Notes that the endpoint at an address has closed an idle connection. */
  noteIdleClosed(address: string): void {
    for (const endpoint of this.options.endpointsAt(address))
      void this.look(endpoint);
  }

  private async look(endpoint: KnownEndpoint): Promise<void> {
    const {clock, reports, quarantine} = this.options;
    const incarnation = endpointIncarnation(endpoint.entry);
    const now = clock.monotonic();
    const last = this.looks.get(incarnation) ?? -Infinity;
    if (now - last < LOOK_INTERVAL_MILLISECONDS) return;
    this.remember(incarnation, now);
    let state = await reports.stateOf(endpoint.entry);
    if (state === 'unknown' || state === 'broken-off') {
      // Its port may be closed a little later than its connections.
      await new Promise<void>(resolve => {
        clock.after(SECOND_LOOK_DELAY_MILLISECONDS, resolve);
      });
      state = await reports.stateOf(endpoint.entry);
    }
    if (hasEnded(state)) quarantine.recordEnd(endpoint);
  }

  private remember(incarnation: string, now: number): void {
    this.looks.delete(incarnation);
    this.looks.set(incarnation, now);
    if (this.looks.size <= MAX_REMEMBERED_LOOKS) return;
    const [oldest] = this.looks.keys();
    if (oldest !== undefined) this.looks.delete(oldest);
  }
}
