/**
 * Relays the events of one endpoint's stream to the caller, until the stream is
 * complete, breaks off, is silent for too long where another endpoint may go on
 * with it, or is cancelled.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {WireError} from '../errors/index.js';
import {AttemptFailure} from './attemptfailure.js';
import type {EndpointResponse} from './endpointresponse.js';
import type {RequestContext} from './context.js';
import {EventSplitter} from './events.js';

/** Time without an event after which another endpoint resumes a stream. */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 1_000;

/** What a relay is created from. */
export interface StreamRelayOptions {
  readonly response: EndpointResponse;
  readonly context: RequestContext;
  readonly clock: Clock;
  /** Aborted when the request is over or its first event is overdue. */
  readonly cancellation: CancellationSignal;
  /** Returns whether another endpoint may go on with the stream. */
  readonly mayTryAnother: () => boolean;
  /** Called when bytes have come, with whether an event was among them. */
  readonly onBytes: (hasEvent: boolean) => void;
  /**
   * Called with the number of events that have come at once; `isContinuous` is
   * false where the relay has not read for a while.
   */
  readonly onEvents: (events: number, isContinuous: boolean) => void;
  /** Called when the whole of a stream has come, not only its rest. */
  readonly onWhole: () => void;
  /** Sends the head of the stream, unless the caller has got one. */
  readonly sendHead: () => void;
}

/** Relays one stream. */
export class StreamRelay {
  private readonly splitter: EventSplitter;
  /** Events that the caller had got before. */
  private readonly deliveredBefore: number;
  /** Whether it has not read for a while since the last event. */
  private hasPaused = false;
  private isFinished = false;
  /** Whether the endpoint has sent the end of its response. */
  private hasEnded = false;
  private stopIdleTimer: Cancel = () => {};
  private stopWatching: Cancel = () => {};
  private settle: (failure?: AttemptFailure) => void = () => {};

  constructor(private readonly options: StreamRelayOptions) {
    const {context} = options;
    this.splitter = new EventSplitter(context.lastEvent);
    this.deliveredBefore = context.delivered;
  }

  /** Resolves when the caller has been sent all of it. Throws an AttemptFailure. */
  run(): Promise<void> {
    const {response, cancellation} = this.options;
    const {message} = response;
    return new Promise((resolve, reject) => {
      this.settle = failure => (failure ? reject(failure) : resolve());
      message.on('data', (bytes: Buffer) => this.handleBytes(bytes));
      message.on('end', () => this.handleEnd());
      message.on('error', error => this.fail('cut', error.message));
      message.on('close', () => {
        if (!this.hasEnded) this.fail('cut', 'the connection is closed');
      });
      this.stopWatching = cancellation.onAbort(() => this.fail('cut', 'ended'));
      this.restartIdleTimer();
      // It may have failed together with its head, before the listeners were
      // set.
      if (message.destroyed && !message.complete) {
        this.fail(
          'cut',
          message.errored?.message ?? 'the connection is closed',
        );
      }
    });
  }

  private handleBytes(bytes: Buffer): void {
    const {splitter} = this;
    const {context, onBytes, onEvents, sendHead} = this.options;
    const {answer} = context;
    const events = splitter.push(bytes);
    if (this.isFinished) return;
    const hasEvent = splitter.count > 0;
    if (hasEvent) {
      this.restartIdleTimer();
      onEvents(splitter.count, !this.hasPaused);
      this.hasPaused = false;
    }
    onBytes(hasEvent);
    // Comments do not begin a response, so that another endpoint can.
    if (events.length > 0 && (hasEvent || answer.isHeadSent)) {
      sendHead();
      if (!answer.write(events)) this.pause();
    }
    context.lastEvent = splitter.lastId;
    context.recordDelivery(splitter.count);
    splitter.count = 0;
    if (splitter.lacksEvents)
      this.fail('malformed', 'too many bytes without an event');
  }

  private handleEnd(): void {
    const {message, isComplete} = this.options.response;
    this.hasEnded = true;
    if (message.complete)
      void isComplete().then(complete => this.end(complete));
    else this.end(false);
  }

  private end(complete: boolean): void {
    if (this.isFinished) return;
    const {response, context, sendHead} = this.options;
    const {answer} = context;
    const isEmpty = context.delivered === this.deliveredBefore;
    // The connection of an endpoint that crashes ends like such a stream, and
    // nothing shows that a stream which has begun had no more events.
    const isDoubtful = isEmpty && (!response.isDelimited || answer.isHeadSent);
    if (!complete || this.splitter.hasPartialEvent || isDoubtful)
      return this.fail('cut', 'the stream is cut short');
    if (context.request.lastEvent === undefined && this.deliveredBefore === 0)
      this.options.onWhole();
    sendHead();
    answer.end();
    this.finish();
  }

  private restartIdleTimer(): void {
    const {clock, context, mayTryAnother} = this.options;
    this.stopIdleTimer();
    if (!context.route.resumable) return;
    this.stopIdleTimer = clock.after(STREAM_IDLE_TIMEOUT_MILLISECONDS, () => {
      // A slow stream is better than none.
      if (!mayTryAnother()) return this.restartIdleTimer();
      this.fail('between-events', 'the stream is silent');
    });
  }

  /** Pauses the endpoint while the caller lags. */
  private pause(): void {
    const {response, context} = this.options;
    this.stopIdleTimer();
    this.hasPaused = true;
    response.message.pause();
    context.answer.onDrain(() => {
      if (this.isFinished) return;
      this.restartIdleTimer();
      response.message.resume();
    });
  }

  private fail(stage: WireError['stage'], detail: string): void {
    this.finish(new AttemptFailure(stage, detail, false));
  }

  private finish(failure?: AttemptFailure): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.stopIdleTimer();
    this.stopWatching();
    if (failure) this.options.response.message.destroy();
    this.settle(failure);
  }
}
