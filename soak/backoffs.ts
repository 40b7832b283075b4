/**
 * Which hosts endpoints have told to send nothing for a while, and how many
 * requests came from them all the same.
 */

/** Milliseconds after the answer from which on the host is bound. */
const NOTICE_MILLISECONDS = 500;
/** Requests that may come in that time. */
const TOLERATED = 2;

/** One host process at one endpoint. */
export interface SendingHost {
  /** Id of the process, which is another one after a restart. */
  readonly process: number;
  readonly endpoint: string;
  /** Disturbances of the host so far. */
  readonly disturbances: number;
}

interface Backoff {
  /** The request that was turned away. */
  readonly request: string;
  readonly disturbances: number;
  readonly from: number;
  readonly until: number;
  arrivals: number;
}

/** The endpoints that want nothing, by host. */
export class Backoffs {
  private readonly backoffs = new Map<string, Backoff>();

  /** An endpoint has told a host to send nothing for some milliseconds. */
  begin(
    host: SendingHost,
    request: string,
    duration: number,
    now: number,
  ): void {
    const {disturbances} = host;
    const from = now + NOTICE_MILLISECONDS;
    const until = now + duration;
    const backoff = {request, disturbances, from, until, arrivals: 0};
    this.backoffs.set(keyOf(host), backoff);
  }

  /** The request of a host that an endpoint has turned away last. */
  turnedAway(host: SendingHost): string | undefined {
    return this.backoffs.get(keyOf(host))?.request;
  }

  /** A request has come; returns whether it is one too many. */
  arrive(host: SendingHost, now: number): boolean {
    const backoff = this.backoffs.get(keyOf(host));
    if (!backoff || now < backoff.from || now > backoff.until) return false;
    if (backoff.disturbances !== host.disturbances) return false;
    backoff.arrivals++;
    return backoff.arrivals > TOLERATED;
  }
}

function keyOf({process, endpoint}: SendingHost): string {
  return `${process} ${endpoint}`;
}
