/**
 * Where prompts with the same opening ran last. An engine that holds a prefix
 * in its cache answers sooner. The memory is bounded, scoped by team, and only
 * a preference: it never outweighs load.
 */
const MOST_PREFIXES = 4096;
const PREFIX_CHARACTERS = 256;

/** A bounded memory from prefix to endpoint; the least recent one goes first. */
export class PrefixMemory {
  private readonly endpoints = new Map<string, string>();

  /** Notes that an endpoint has a prefix in its cache. */
  learn(prefix: string, endpoint: string): void {
    if (prefix === '') return;
    this.endpoints.delete(prefix);
    this.endpoints.set(prefix, endpoint);
    if (this.endpoints.size <= MOST_PREFIXES) return;
    const [oldest] = this.endpoints.keys();
    if (oldest !== undefined) this.endpoints.delete(oldest);
  }

  /** The endpoint that is likely to hold the prefix. */
  lookUp(prefix: string): string | undefined {
    return prefix === '' ? undefined : this.endpoints.get(prefix);
  }

  /**
   * The prefix of a prompt, kept apart for each team.
   *
   * ```ts
   * const prefix = PrefixMemory.of('guides', messages[0].content);
   * ```
   */
  static of(team: string, opening: string): string {
    return opening === ''
      ? ''
      : `${team} ${opening.slice(0, PREFIX_CHARACTERS)}`;
  }
}
