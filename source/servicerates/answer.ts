/** Observes the answer to one request, and learns from it. */
import type {EndpointRates} from './endpointrates.js';
import type {StatedLoad} from './observations.js';

/** A request that is sent to an endpoint, with what was expected there. */
export interface SentRequest {
  readonly endpoint: string;
  readonly service: string;
  /** Slots of the endpoint. */
  readonly slots: number;
  /** Requests that the endpoint was expected to have. */
  readonly expectedRequests: number;
  /** Absent for a request without a prompt. */
  readonly prompt?: SentPrompt;
}

/** A prompt that is sent to an engine. */
export interface SentPrompt {
  /** Milliseconds of prefill that were expected to be queued there. */
  readonly queuedMilliseconds: number;
  /** Prompt tokens that the engine was expected not to have cached. */
  readonly uncachedTokens: number;
  /** Tokens that the response is expected to have. */
  readonly outputTokens: number;
}

/** Takes what an answer states of the endpoint’s load. */
export type RecordLoad = (load: StatedLoad | undefined, now: number) => void;

/** Observes one answer. Times are in monotonic milliseconds. */
export class AnswerObserver {
  private load: StatedLoad | undefined;
  private lastEventAt: number | undefined;
  private events = 0;

  /** `rates` is undefined for an endpoint that nothing is learned of. */
  constructor(
    private readonly sent: SentRequest,
    private readonly sentAt: number,
    private readonly rates: EndpointRates | undefined,
    private readonly recordLoad: RecordLoad,
  ) {}

  /** Records the head of the answer, and whether the request succeeded. */
  answered(
    load: StatedLoad | undefined,
    isSuccess: boolean,
    now: number,
  ): void {
    this.load = load;
    this.recordLoad(load, now);
    const {prompt, expectedRequests, slots} = this.sent;
    if (!isSuccess || prompt || expectedRequests >= slots) return;
    this.rates?.recordPlainAnswer(now - this.sentAt, load, now);
  }

  /**
   * Records events that have come at once. `isContinuous` is false where this
   * host has read nothing for a while, so that the time tells nothing.
   */
  streamed(events: number, isContinuous: boolean, now: number): void {
    const {lastEventAt, sent, load} = this;
    this.lastEventAt = now;
    this.events += events;
    if (!sent.prompt || !isContinuous) return;
    if (lastEventAt !== undefined) {
      this.rates?.recordGap((now - lastEventAt) / events, now);
      return;
    }
    const milliseconds = now - this.sentAt;
    const first = {...sent.prompt, milliseconds, load};
    this.rates?.recordFirstEvent(first, events, now);
  }

  /** Records that the whole of a stream has come. */
  completed(now: number): void {
    const {prompt} = this.sent;
    if (!prompt || this.events === 0) return;
    const {service} = this.rates ?? {};
    service?.recordStream(prompt.outputTokens, this.events, now);
  }
}
