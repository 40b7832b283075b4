/** The service rates of all endpoints of a host. */
import {AnswerObserver, type SentRequest} from './answer.js';
import {EndpointRates} from './endpointrates.js';
import type {StatedLoad} from './observations.js';
import {ASSUMED_RATE, type ServiceRate} from './rate.js';
import {
  durationsOf,
  eventTokensOf,
  ReportSchedule,
  usualFactorOf,
  type RateReport,
} from './reports.js';
import {ServiceKnowledge} from './serviceknowledge.js';

/** The endpoints of a host, as far as their rates depend on it. */
export type RatedEndpoints = ReadonlyMap<
  string,
  {readonly entry: {readonly service: string}}
>;

/** What is logged and counted of the statements of endpoints. */
export type RatesChange =
  /** The endpoints of a service have begun or ceased to state work factors. */
  | {readonly kind: 'use'; readonly service: string; readonly isInUse: boolean}
  /** An endpoint has stated a load that is not as it should be. */
  | {
      readonly kind: 'malformed';
      readonly endpoint: string;
      readonly text: string;
      /** Whether it is the first one of this endpoint. */
      readonly isFirst: boolean;
    };

/** A typical rate as it was last computed. */
interface TypicalRate {
  readonly rate: ServiceRate;
  /** Monotonic milliseconds between which it holds. */
  readonly since: number;
  readonly until: number;
}

/** Time for which a typical rate is not computed anew. */
const TYPICAL_RATE_MILLISECONDS = 500;

/** Learns how fast each endpoint serves requests. */
export class ServiceRates {
  private readonly services = new Map<string, ServiceKnowledge>();
  private readonly endpoints = new Map<string, EndpointRates>();
  private readonly typical = new Map<string, TypicalRate>();
  /** Endpoints that have stated a load that is not as it should be. */
  private readonly malformed = new Set<string>();
  private readonly schedule = new ReportSchedule();
  /** Services whose endpoints state how long work takes there. */
  private readonly stating = new Set<string>();

  /** `onChange` is called when there is something to log or count. */
  constructor(
    private readonly onChange: (change: RatesChange) => void = () => {},
  ) {}

  /**
   * What an endpoint can do at a time in monotonic milliseconds.
   *
   * ```ts
   * const {prefillTokensPerMillisecond} = rates.rateOf(id, clock.monotonic());
   * ```
   */
  rateOf(endpoint: string, now: number): ServiceRate {
    const rates = this.endpoints.get(endpoint);
    if (!rates || rates.service.stating.size === 0) return ASSUMED_RATE;
    return rates.rateAt(now);
  }

  /**
   * Whether the endpoints of a service state how long work takes there. Where
   * they do not, endpoints are chosen as if all were equally fast.
   */
  isInUse(service: string): boolean {
    return this.stating.has(service);
  }

  /** The services whose endpoints state how long work takes there. */
  get servicesInUse(): ReadonlySet<string> {
    return this.stating;
  }

  /**
   * The rate that is typical of a service’s endpoints; undefined where the rates
   * are not in use.
   */
  typicalRate(service: string, now: number): ServiceRate | undefined {
    if (!this.isInUse(service)) return undefined;
    const known = this.typical.get(service);
    if (known && now >= known.since && now < known.until) return known.rate;
    const rate = this.services.get(service)?.typicalRate(now);
    if (!rate) return undefined;
    const until = now + TYPICAL_RATE_MILLISECONDS;
    this.typical.set(service, {rate, since: now, until});
    return rate;
  }

  /** Tokens of an event of a service’s streams; undefined if not known. */
  tokensPerEvent(service: string): number | undefined {
    return this.services.get(service)?.tokensPerEvent;
  }

  /** How many endpoints of a service state work factors. */
  statingCount(service: string): number {
    return this.services.get(service)?.stating.size ?? 0;
  }

  /** How many work factors the endpoints of a service have stated so far. */
  statementCount(service: string): number {
    return this.services.get(service)?.statements ?? 0;
  }

  /**
   * Replaces the endpoints. What is known of those that are gone or among
   * `restarted` is dropped; only whether the latter state work factors is kept
   * until their answers show it.
   */
  setDirectory(endpoints: RatedEndpoints, restarted: readonly string[]): void {
    const before = new Map<string, ServiceKnowledge>();
    for (const [id, {service}] of this.endpoints)
      if (!endpoints.has(id)) before.set(id, service);
    for (const id of restarted) {
      const service = this.endpoints.get(id)?.service;
      if (service) before.set(id, service);
    }
    for (const id of before.keys()) this.drop(id);
    for (const [id, {entry}] of endpoints) this.enter(id, entry.service);
    for (const [id, service] of before)
      if (this.endpoints.get(id)?.service !== service)
        service.stating.remove(id);
    for (const [name, service] of this.services) {
      if (service.endpoints.size === 0) this.services.delete(name);
      this.updateUse(name);
    }
  }

  /** Returns what observes the answer to a request that is sent. */
  observe(sent: SentRequest, now: number): AnswerObserver {
    const {endpoint, service} = sent;
    const isLearned = this.isInUse(service);
    const rates = isLearned ? this.endpoints.get(endpoint) : undefined;
    const of = this.endpoints.get(endpoint);
    return new AnswerObserver(sent, now, rates, (load, at) => {
      // An endpoint that has restarted meanwhile is another one.
      if (this.endpoints.get(endpoint) === of)
        this.recordLoad(endpoint, load, at);
    });
  }

  /** Records the load that an endpoint states in any answer. */
  recordLoad(
    endpoint: string,
    load: StatedLoad | undefined,
    now: number,
  ): void {
    const rates = this.endpoints.get(endpoint);
    if (!rates) return;
    const {service} = rates;
    const isStated = load?.workFactor !== undefined;
    if (!isStated && service.stating.size === 0) return;
    rates.recordLoad(load, now);
    service.stating.record(endpoint, isStated);
    if (isStated) service.statements++;
    this.updateUse(service.name);
  }

  /** Records that an endpoint has stated a load that is not as it should be. */
  recordMalformed(endpoint: string, text: string): void {
    if (!this.endpoints.has(endpoint)) return;
    const isFirst = !this.malformed.has(endpoint);
    this.malformed.add(endpoint);
    this.onChange({kind: 'malformed', endpoint, text, isFirst});
  }

  /**
   * What this host has learned, for the next pulse, to which it may add so many
   * bytes on average. Empty where no rates are in use.
   */
  takeReports(bytes: number, now: number): RateReport[] {
    if (this.stating.size === 0) return [];
    const inUse = [...this.endpoints.values()].filter(
      ({service}) => service.stating.size > 0,
    );
    return this.schedule.take(inUse, {bytes, now});
  }

  /** Takes what another host has learned. */
  addReports(reports: readonly RateReport[], now: number): void {
    for (const report of reports) {
      const [id] = report;
      const rates = this.endpoints.get(id);
      if (!rates) continue;
      const {service} = rates;
      const usualFactor = usualFactorOf(report);
      const tokens = eventTokensOf(report);
      rates.recordReport(durationsOf(report), usualFactor, now);
      if (tokens !== undefined) service.recordReportedTokens(tokens, now);
      service.stating.recordReport(id, usualFactor !== undefined);
      this.updateUse(service.name);
    }
  }

  private enter(id: string, serviceName: string): void {
    const before = this.endpoints.get(id);
    if (before?.service.name === serviceName) return;
    if (before) {
      before.service.endpoints.delete(id);
      before.service.stating.remove(id);
    }
    let service = this.services.get(serviceName);
    if (!service) {
      service = new ServiceKnowledge(serviceName);
      this.services.set(serviceName, service);
    }
    const rates = new EndpointRates(id, service);
    service.endpoints.set(id, rates);
    this.endpoints.set(id, rates);
  }

  private drop(id: string): void {
    this.endpoints.get(id)?.service.endpoints.delete(id);
    this.endpoints.delete(id);
    this.malformed.delete(id);
    this.schedule.remove(id);
  }

  /** Notes whether the rates of a service are in use, and tells a change. */
  private updateUse(service: string): void {
    const isInUse = this.statingCount(service) > 0;
    if (isInUse === this.stating.has(service)) return;
    if (isInUse) this.stating.add(service);
    else this.stating.delete(service);
    this.typical.delete(service);
    this.onChange({kind: 'use', service, isInUse});
  }
}
