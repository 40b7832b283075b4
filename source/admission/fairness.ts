/**
 * Teams of a class share it by tokens. Each team has a counter of the tokens
 * it was served, divided by its weight, and the team with the least goes
 * first. Output length is unknown, so a start charges an estimate and the end
 * settles the difference (the virtual token counter of the fairness
 * literature). A team that was idle starts level with the least busy one, so
 * idleness earns no credit.
 */

/** The counters of one class. */
export class Fairness {
  private readonly counters = new Map<string, number>();
  private readonly active = new Map<string, number>();

  /** The team’s counter; the lower, the sooner it is served. */
  counter(team: string): number {
    return this.counters.get(team) ?? 0;
  }

  /** Notes that a team has one more request waiting or running. */
  enter(team: string): void {
    const present = this.active.get(team) ?? 0;
    if (present === 0) this.lift(team);
    this.active.set(team, present + 1);
  }

  /** Notes that a team has one request fewer. */
  leave(team: string): void {
    const present = this.active.get(team) ?? 0;
    if (present > 1) this.active.set(team, present - 1);
    else this.active.delete(team);
  }

  /**
   * Adds tokens to a team’s counter; a negative amount gives tokens back.
   *
   * ```ts
   * fairness.charge('guides', estimate, weight);
   * fairness.charge('guides', actual - estimate, weight);
   * ```
   */
  charge(team: string, tokens: number, weight: number): void {
    this.counters.set(team, this.counter(team) + tokens / weight);
  }

  private lift(team: string): void {
    let least = Infinity;
    for (const other of this.active.keys()) {
      least = Math.min(least, this.counter(other));
    }
    if (least === Infinity) least = 0;
    if (least > this.counter(team)) this.counters.set(team, least);
  }
}
