/**
 * The part of roll-outs in an attempt: reserves an endpoint of a version that the
 * attempt may use, and tells how the attempt ended there.
 */
import type {EndpointSelector, Reservation} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import type {AttemptVersions, EndAttempt} from '../rollout/index.js';
import type {AttemptFailure} from './attemptfailure.js';
import type {RequestContext} from './context.js';

/** What attempts are placed with. */
export interface VersionedAttemptsParts {
  readonly book: EndpointSelector;
  readonly clock: Clock;
  readonly rollouts: AttemptVersions;
}

/** An attempt that has an endpoint, as roll-outs see it. */
export interface PlacedAttempt {
  /** Records that it has succeeded. */
  succeeded(): void;
  /** Records that it has failed. */
  failed(failure: AttemptFailure): void;
  /** Ends it; without a result before, it counts for nothing. */
  end(): void;
}

/** Places attempts at the versions that they may use. */
export class VersionedAttempts {
  constructor(private readonly parts: VersionedAttemptsParts) {}

  /** Reserves an endpoint; undefined if none is eligible. */
  reserve(context: RequestContext): Reservation | undefined {
    const {service, request, failedEndpoints, failedVersions} = context;
    const {homes, tier, streamVersion, pauseTarget} = context;
    const {prompt} = request;
    const {book, rollouts} = this.parts;
    const required = {
      service,
      prompt,
      failedEndpoints,
      tier,
      homes,
      pauseTarget,
    };
    const asked = {service, streamVersion, failedVersions};
    const choices = rollouts.choose(asked);
    if (!choices)
      return book.reserve({...required, softwareVersion: streamVersion});
    for (const {version, excluded, endpoints} of choices) {
      const reservation = book.reserve({
        ...required,
        softwareVersion: version,
        excludedVersions: excluded,
        endpoints,
      });
      if (reservation) return reservation;
    }
    return undefined;
  }

  /** Records that an attempt is sent to the endpoint of a reservation. */
  begin(context: RequestContext, {endpoint}: Reservation): PlacedAttempt {
    const {clock, rollouts} = this.parts;
    const {service, route, sends, delivered: before} = context;
    const {id, softwareVersion: version} = endpoint.entry;
    const sentAt = clock.monotonic();
    const firstAt = () =>
      context.firstByteAt >= sentAt ? context.firstByteAt : undefined;
    const hasBegun = () => context.delivered > before;
    const end: EndAttempt = rollouts.begin({
      service,
      route: route.name,
      target: route.target,
      pauseTarget: route.pauseTarget,
      version,
      endpoint: id,
      isFirst: sends === 1,
      hasBegun,
    });
    /** Mean time between events, with those that are awaited. */
    const paceUntilNow = (awaited: number) => {
      const firstEventAt = firstAt();
      const events = context.delivered - before - 1 + awaited;
      if (firstEventAt === undefined || events <= 0) return undefined;
      return (clock.monotonic() - firstEventAt) / events;
    };
    let isOver = false;
    const endOnce: EndAttempt = result => {
      if (!isOver) end(result);
      isOver = true;
    };
    return {
      succeeded: () => {
        const whole = route.streaming ? undefined : clock.monotonic();
        const first = (firstAt() ?? whole ?? NaN) - sentAt;
        endOnce({isFailure: false, first, pace: paceUntilNow(0)});
      },
      failed: ({stage, notRun}) => {
        if (version !== undefined) context.failedVersions.add(version);
        // Neither says anything of the answers of the version.
        if (notRun || stage === 'connect') return endOnce();
        endOnce({isFailure: true});
      },
      end: () => {
        const hasLeft = context.callerDisconnected && firstAt() !== undefined;
        if (!hasLeft) return endOnce();
        // The caller may have left as the next event did not come.
        endOnce({isFailure: false, pace: paceUntilNow(1)});
      },
    };
  }
}
