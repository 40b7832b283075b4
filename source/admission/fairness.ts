/**
 * Fair sharing of a class between teams, by tokens: the virtual token counter
 * of the fairness literature. Each team has a counter of the tokens that it
 * was served, divided by its weight, and the team with the lowest counter goes
 * first. The output length is unknown when a request starts, so the start
 * charges an estimate and the end settles the difference. A team that becomes
 * active again starts no lower than the lowest active team, so that idle time
 * earns no credit.
 */

/** The token counters of the teams of one class. */
export class VirtualTokenCounters {
  private readonly counters = new Map<string, number>();
  /** Queued and running requests of each team that has any. */
  private readonly requestCounts = new Map<string, number>();

  /** The team’s weighted tokens; the team with the fewest is served first. */
  counter(team: string): number {
    return this.counters.get(team) ?? 0;
  }

  /** Notes that a team has one more request queued or running. */
  addRequest(team: string): void {
    const count = this.requestCounts.get(team) ?? 0;
    if (count === 0) this.raiseToLowestActive(team);
    this.requestCounts.set(team, count + 1);
  }

  /** Notes that a team has one request fewer queued or running. */
  removeRequest(team: string): void {
    const count = this.requestCounts.get(team) ?? 0;
    if (count > 1) this.requestCounts.set(team, count - 1);
    else this.requestCounts.delete(team);
  }

  /**
   * Adds tokens to a team’s counter; a negative amount gives tokens back.
   *
   * ```ts
   * counters.charge('guides', estimate, weight);
   * counters.charge('guides', actual - estimate, weight);
   * ```
   */
  charge(team: string, tokens: number, weight: number): void {
    this.counters.set(team, this.counter(team) + tokens / weight);
  }

  private raiseToLowestActive(team: string): void {
    let lowest = Infinity;
    for (const other of this.requestCounts.keys()) {
      lowest = Math.min(lowest, this.counter(other));
    }
    if (lowest === Infinity) lowest = 0;
    if (lowest > this.counter(team)) this.counters.set(team, lowest);
  }
}
