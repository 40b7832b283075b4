/**
 * Which engines are believed to keep which parts of prompts: those that read
 * them of late, for this host or for another that has told. An engine that is
 * short of memory drops parts unasked, so what is old counts no more.
 */
import type {PromptPart} from './work.js';

/** A part that an engine has read. */
export interface KeptPart {
  readonly part: string;
  readonly endpoint: string;
}

interface Note extends KeptPart {
  readonly at: number;
}

/** Milliseconds after its last use for which a part is believed to be kept. */
const KEPT_MILLISECONDS = 45_000;
/** Tokens of a part from which on other hosts are told; less is soon read. */
const TOLD_TOKENS_LEAST = 400;
const PARTS_MOST = 16_384;
const NEWS_MOST = 256;

/** The parts that engines keep, as far as this host knows. */
export class KeptParts {
  /** Monotonic milliseconds of the last use, by part and endpoint. */
  private readonly uses = new Map<string, Map<string, number>>();
  private news: Note[] = [];

  /** Notes that an engine reads the parts, for a request of this host. */
  read(parts: readonly PromptPart[], endpoint: string, now: number): void {
    for (const {id: part, tokens} of parts) {
      this.note({part, endpoint}, now);
      if (tokens < TOLD_TOKENS_LEAST) continue;
      this.news.push({part, endpoint, at: now});
    }
    if (this.news.length > NEWS_MOST) this.news = this.news.slice(-NEWS_MOST);
  }

  /** Notes what another host has told. */
  told(kept: readonly KeptPart[], now: number): void {
    for (const part of kept) this.note(part, now);
  }

  /** What requests of this host have had read since a moment. */
  since(moment: number): KeptPart[] {
    const told = new Map<string, KeptPart>();
    for (const {part, endpoint, at} of this.news) {
      if (at >= moment) told.set(`${part} ${endpoint}`, {part, endpoint});
    }
    return [...told.values()];
  }

  /** Forgets an engine that has gone or started anew. */
  forget(endpoint: string): void {
    for (const engines of this.uses.values()) engines.delete(endpoint);
  }

  /**
   * Tokens at the beginning of a prompt that an engine need not read again.
   *
   * ```ts
   * const unread = prompt.tokens - kept.tokens(prompt.parts, engine, now);
   * ```
   */
  tokens(parts: readonly PromptPart[], endpoint: string, now: number): number {
    let sum = 0;
    for (const {id, tokens} of parts) {
      const at = this.uses.get(id)?.get(endpoint) ?? -Infinity;
      if (now - at > KEPT_MILLISECONDS) break;
      sum += tokens;
    }
    return sum;
  }

  private note({part, endpoint}: KeptPart, now: number): void {
    const known = this.uses.get(part);
    if (known) return void known.set(endpoint, now);
    this.uses.set(part, new Map([[endpoint, now]]));
    if (this.uses.size <= PARTS_MOST) return;
    const [oldest] = this.uses.keys();
    if (oldest !== undefined) this.uses.delete(oldest);
  }
}
