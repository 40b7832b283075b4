/**
 * Lets the stand-in store come back from an older copy. The operator and the
 * endpoints write again what it has lost, unless they have written something newer
 * meanwhile; the hosts’ own records stay lost.
 */
import type {Site, SiteCopy} from '../standins/site.js';

const COPY_INTERVAL_MILLISECONDS = 250;
/** Copies that are kept: those of the longest time that a restore goes back. */
const MAX_COPIES = 32;
const WRITTEN_TOPICS = ['keyed.op', 'keyed.servers'];

/** Copies of a store as time passes. */
export class StoreCopies {
  private copies: SiteCopy[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly site: Site) {
    this.timer = setInterval(() => {
      this.copies = [...this.copies, site.copy()].slice(-MAX_COPIES);
    }, COPY_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Restores the newest copy that has an age in milliseconds. Returns what writes
   * again what is lost.
   */
  restore(age: number): () => void {
    const now = performance.now();
    const copy = this.copies.findLast(({at}) => now - at >= age);
    const lost = this.site.copy();
    this.site.restore(copy ?? lost);
    this.copies = [];
    const restored = this.site.copy();
    return () => this.rewrite(lost, restored);
  }

  private rewrite(lost: SiteCopy, restored: SiteCopy): void {
    const present = this.site.copy();
    for (const topic of WRITTEN_TOPICS) {
      const records = [...(lost.newestOf.get(topic) ?? [])];
      records.sort(([, one], [, other]) => one.offset - other.offset);
      for (const [key, {value}] of records) {
        const before = restored.newestOf.get(topic)?.get(key);
        const now = present.newestOf.get(topic)?.get(key);
        const isRewritten = now?.offset !== before?.offset;
        const isLost = !before?.value.equals(value);
        if (isLost && !isRewritten) this.site.put(topic, key, value.toString());
      }
    }
  }
}
