/**
 * Which entries of the blocklist a pulse brings to the other hosts: a few, so that
 * pulses stay small however much is blocked, and the next ones each time.
 */
import type {BlocklistEntry} from './message.js';

/** Entries of the blocklist in a pulse; the next one has the next entries. */
const ENTRIES_PER_PULSE = 4;

/** Takes the entries of a host in turn. */
export class PulseEntries {
  /** Index of the first entry in the next pulse. */
  private next = 0;

  /** The entries for the next pulse, of all that there are. */
  take(entries: readonly BlocklistEntry[]): BlocklistEntry[] {
    const first = this.next % Math.max(entries.length, 1);
    const rotated = [...entries.slice(first), ...entries.slice(0, first)];
    this.next = first + ENTRIES_PER_PULSE;
    return rotated.slice(0, ENTRIES_PER_PULSE);
  }
}
