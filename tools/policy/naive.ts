/** The baseline: first come first served, round robin, a fixed split. */
import type {Configuration} from '../../source/configuration/index.js';
import type {ModelEngine} from './engines.js';
import {Policy, type Site} from './policy.js';
import type {Arrival} from './trace.js';

const ATTEMPTS_MOST = 3;

interface Waiting {
  readonly arrival: Arrival;
  readonly at: number;
  attempts: number;
  wasted: number;
}

/** One line for all, and each engine in turn. */
export class NaivePolicy extends Policy {
  private readonly lines: Waiting[][];
  private readonly running: Array<Map<string, number>>;
  private turn = 0;
  private readonly down = new Set<string>();

  constructor(private readonly site: Site) {
    super();
    this.lines = site.hosts.map(() => []);
    this.running = site.hosts.map(() => new Map());
  }

  override arrive(arrival: Arrival): void {
    const at = this.site.clock.monotonic();
    const waiting = {arrival, at, attempts: 0, wasted: 0};
    this.lines[arrival.host]?.push(waiting);
    this.site.clock.after(arrival.load.queueBound, () => this.expire(waiting));
    this.start(arrival.host);
  }

  override report({endpoint, state, crashed}: ModelEngine): void {
    if (state === 'leaving' || crashed) this.down.add(endpoint.name);
    else this.down.delete(endpoint.name);
  }

  override configure({tables}: Configuration): void {
    for (const {object} of tables.endpoints.values()) {
      if (!object) continue;
      const out = tables.zones.get(object.zone)?.object?.state === 'out';
      if (out) this.down.add(object.name);
      else this.down.delete(object.name);
    }
  }

  private start(host: number): void {
    for (;;) {
      const next = this.lines[host]?.[0];
      const engine = next && this.pick(host);
      if (!next || !engine) return;
      this.lines[host]?.shift();
      this.run(host, next, engine);
    }
  }

  private pick(host: number): ModelEngine | undefined {
    const engines = [...this.site.engines.values()];
    for (let index = 0; index < engines.length; index++) {
      const engine = engines[(this.turn + index) % engines.length];
      if (!engine || this.down.has(engine.endpoint.name)) continue;
      const split = Math.max(
        1,
        Math.floor(engine.endpoint.slots / this.site.hosts.length),
      );
      const running = this.running[host]?.get(engine.endpoint.name) ?? 0;
      if (running >= split) continue;
      this.turn += index + 1;
      return engine;
    }
    return undefined;
  }

  private run(host: number, waiting: Waiting, engine: ModelEngine): void {
    const {arrival, at} = waiting;
    const {name, cheap} = engine.endpoint;
    const counts = this.running[host] ?? new Map<string, number>();
    counts.set(name, (counts.get(name) ?? 0) + 1);
    waiting.attempts++;
    let first = 0;
    let gap = 0;
    const ended = (served: boolean, tokens: number) => {
      counts.set(name, (counts.get(name) ?? 1) - 1);
      const again = !served && first === 0 && waiting.attempts < ATTEMPTS_MOST;
      if (again) this.lines[host]?.unshift(waiting);
      else {
        const got = served ? tokens : 0;
        const wasted = waiting.wasted + (served ? 0 : tokens);
        const refusal = served ? '' : 'lost';
        this.site.done({
          arrival,
          served,
          first,
          gap,
          tokens: got,
          wasted,
          cheap,
          refusal,
        });
      }
      this.start(host);
    };
    const taken = engine.take({
      tokens: arrival.tokens,
      first: pace => {
        first = this.site.clock.monotonic() - at;
        gap = pace;
      },
      ended,
    });
    if (!taken) ended(false, 0);
  }

  private expire(waiting: Waiting): void {
    const line = this.lines[waiting.arrival.host] ?? [];
    const index = line.indexOf(waiting);
    if (index < 0) return;
    line.splice(index, 1);
    const {arrival, wasted} = waiting;
    this.site.done({
      arrival,
      served: false,
      first: 0,
      gap: 0,
      tokens: 0,
      wasted,
      cheap: false,
      refusal: 'queue-timeout',
    });
  }
}
