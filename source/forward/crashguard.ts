/**
 * Applies the quarantine to the requests of a host: refuses those that crash
 * endpoints, for themselves or for a part of their prompt, and tells the
 * quarantine which requests were cut and which answers have begun.
 */
import {sharedParts, type Prompt} from '../balance/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import {Refusal, type Outcome} from '../errors/index.js';
import {
  keyOf,
  RequestTraits,
  type Quarantine,
  type Suspect,
} from '../quarantine/index.js';
import type {CrashSign} from './attemptfailure.js';
import type {RequestContext} from './context.js';

/** Keeps requests away from the endpoints that they would crash. */
export class CrashGuard {
  constructor(private readonly quarantine: Quarantine) {}

  /**
   * Notes what in a request whose body has been read may crash endpoints. Throws
   * a Refusal if that is blocked.
   */
  checkArrival(context: RequestContext): void {
    const {request, body, team} = context;
    const {method, host, url, prompt} = request;
    const content = {method, host, url, team: team?.name ?? '', body};
    const traits = new RequestTraits(content, sharedPartIds(prompt));
    context.traits = traits;
    const suspect = this.quarantine.blockedSuspect(traits);
    if (suspect) throw blocked(suspect, 'not-run');
  }

  /**
   * Throws a Refusal if the request may have crashed the endpoints that cut it,
   * before it gets to another one. Waits until it is known whether the last
   * endpoint has crashed.
   */
  async checkRetry(context: RequestContext): Promise<void> {
    const {traits, crashCheck, cancelled} = context;
    if (!traits || !crashCheck) return;
    await Promise.race([crashCheck, cancelled]);
    context.crashCheck = undefined;
    if (!this.quarantine.isSuspect(traits)) return;
    throw new Refusal(
      'endpoint-lost',
      'unknown',
      'endpoints crashed before they began the answer',
    );
  }

  /**
   * Records that an endpoint may have crashed on a request which it got at a
   * monotonic time.
   */
  recordSign(
    sign: CrashSign,
    context: RequestContext,
    endpoint: KnownEndpoint,
    sentAt: number,
  ): void {
    const {request, traits, delivered: events} = context;
    if (!traits) return;
    // The detector keeps them for longer than the request lasts.
    traits.dropBody();
    const cut = {endpoint, request: request.id, traits, sentAt, events};
    context.crashCheck =
      sign === 'cut'
        ? this.quarantine.recordCut(cut)
        : this.quarantine.recordSpoiled(cut);
  }

  /** Records that an endpoint has begun the answer to a request. */
  recordBegun({traits}: RequestContext): void {
    if (traits) this.quarantine.recordBegun(traits);
  }

  /**
   * Ends a request in progress that is blocked from now on, so that it does not
   * crash the endpoint at which it waits. One whose answer has begun goes on.
   */
  endIfBlocked(context: RequestContext, suspect: Suspect): void {
    const {traits, delivered, mayHaveRun, cancellation} = context;
    if (delivered > 0 || !traits?.keys.includes(keyOf(suspect))) return;
    cancellation.abort(blocked(suspect, mayHaveRun ? 'unknown' : 'not-run'));
  }
}

/** The ids of the parts of a prompt that other requests share. */
function sharedPartIds(prompt: Prompt | undefined): string[] {
  return prompt ? sharedParts(prompt).map(({id}) => id) : [];
}

function blocked({kind, id}: Suspect, outcome: Outcome): Refusal {
  if (kind === 'request')
    return new Refusal(
      'request-blocked',
      outcome,
      `endpoints crash on requests like this, ${id}`,
    );
  const detail = `endpoints crash on the prompt part ${id}`;
  return new Refusal('prompt-blocked', outcome, detail);
}
