/**
 * Prefix affinity: the endpoint where prompts with the same opening ran last,
 * since an engine that has a prefix in its cache responds sooner. The map is
 * bounded and its keys are scoped by team. Affinity is only a preference: it
 * counts as a fixed part of the slot quota when endpoints are scored, and any
 * larger difference in load outweighs it.
 */
const MAX_PREFIXES = 4096;
const MAX_PREFIX_CHARACTERS = 256;

/** Maps prefixes to endpoints; evicts the prefix recorded longest ago. */
export class PrefixAffinity {
  /** In the order in which the prefixes were last recorded. */
  private readonly endpoints = new Map<string, string>();

  /** Records that an endpoint has a prefix in its cache. */
  record(prefix: string, endpoint: string): void {
    if (prefix === '') return;
    this.endpoints.delete(prefix);
    this.endpoints.set(prefix, endpoint);
    if (this.endpoints.size <= MAX_PREFIXES) return;
    const [oldest] = this.endpoints.keys();
    if (oldest !== undefined) this.endpoints.delete(oldest);
  }

  /** The endpoint that is likely to have the prefix in its cache. */
  lookUp(prefix: string): string | undefined {
    return prefix === '' ? undefined : this.endpoints.get(prefix);
  }

  /**
   * The prefix of a prompt, separate for each team; empty for an empty opening.
   *
   * ```ts
   * const prefix = PrefixAffinity.keyOf('guides', messages[0].content);
   * ```
   */
  static keyOf(team: string, opening: string): string {
    return opening === ''
      ? ''
      : `${team} ${opening.slice(0, MAX_PREFIX_CHARACTERS)}`;
  }
}
