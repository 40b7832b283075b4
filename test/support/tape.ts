/** A log for fuzzing: what is appended, lost, doubled, delayed and expired. */
import type {LogEntry, LogRecord} from '../../source/platform/index.js';

/** An append on its way. */
export interface Flight {
  readonly record: LogRecord;
  /** Milliseconds at which it was sent. */
  readonly at: number;
}

/** The log as an oracle sees it, and the appends on their way to it. */
export class Tape {
  readonly entries: LogEntry[] = [];
  flights: Flight[] = [];
  first = 0;

  send(record: LogRecord, at = 0): void {
    this.flights.push({record, at});
  }

  /** Lets everything take effect that was sent by then, in order. */
  landAll(sentBy: number): void {
    const due = this.flights.filter(({at}) => at <= sentBy);
    for (const flight of due) this.land(this.flights.indexOf(flight), false);
  }

  /** Lets an append take effect; `again` leaves a copy of it on its way. */
  land(index: number, again: boolean): void {
    const flight = this.flights[index % Math.max(this.flights.length, 1)];
    if (!flight) return;
    // What crosses the wire is JSON, so a record keeps nothing but its values.
    const value: unknown = JSON.parse(JSON.stringify(flight.record));
    this.entries.push({offset: this.entries.length, value});
    if (!again) this.flights = this.flights.filter(other => other !== flight);
  }

  lose(index: number): void {
    const lost = this.flights[index % Math.max(this.flights.length, 1)];
    this.flights = this.flights.filter(other => other !== lost);
  }

  /** Entries from an offset that the log still holds. */
  read(from: number): LogEntry[] {
    return this.entries.slice(Math.max(from, this.first));
  }
}
