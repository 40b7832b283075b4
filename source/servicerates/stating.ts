/**
 * Which endpoints state how long work takes there. A service is treated as one
 * of uneven endpoints while any of them does.
 */

/**
 * Answers in a row without a work factor after which an endpoint no longer
 * counts as stating one. A single answer without it, or a restart, must not
 * change how all endpoints of a service are chosen.
 */
const ANSWERS_BEFORE_SILENCE = 8;

/** The endpoints of one service that state work factors. */
export class StatingEndpoints {
  /** By endpoint id: answers without a work factor since the last one with it. */
  private readonly silences = new Map<string, number>();
  /** Endpoints that have answered this host. */
  private readonly heard = new Set<string>();

  /** How many endpoints state work factors. */
  get size(): number {
    return this.silences.size;
  }

  /**
   * Records whether an answer of an endpoint stated a work factor.
   *
   * ```ts
   * stating.record('engine-1', load.workFactor !== undefined);
   * ```
   */
  record(endpoint: string, isStated: boolean): void {
    this.heard.add(endpoint);
    if (isStated) {
      this.silences.set(endpoint, 0);
      return;
    }
    const silence = this.silences.get(endpoint);
    if (silence === undefined) return;
    if (silence + 1 >= ANSWERS_BEFORE_SILENCE) this.silences.delete(endpoint);
    else this.silences.set(endpoint, silence + 1);
  }

  /**
   * Records whether an endpoint states work factors according to another host.
   * This host’s own answers override that: otherwise hosts would confirm to each
   * other what no endpoint states any more.
   */
  recordReport(endpoint: string, isStated: boolean): void {
    if (this.heard.has(endpoint)) return;
    if (isStated) this.silences.set(endpoint, 0);
    else this.silences.delete(endpoint);
  }

  /** Whether an endpoint states work factors. */
  has(endpoint: string): boolean {
    return this.silences.has(endpoint);
  }

  /** Discards an endpoint that has left. */
  remove(endpoint: string): void {
    this.silences.delete(endpoint);
    this.heard.delete(endpoint);
  }
}
