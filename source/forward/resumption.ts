/**
 * Streams that callers take up again: at which software version each may go on.
 * What two versions write does not fit together, so a stream whose version cannot
 * be known is refused.
 */
import type {Clock} from '../clock/index.js';
import {UNSTATED_VERSION} from '../directory/index.js';
import {Refusal} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {StreamVersions, VersionDecision} from '../versions/index.js';
import {maxQueueTime} from './admission.js';
import type {RequestContext} from './context.js';

/** What the versions of resumed streams are looked up with. */
export interface ResumptionParts {
  readonly versions: StreamVersions;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Sets the software version at which a stream goes on that its caller takes up;
 * does nothing for other requests. Throws a Refusal where the version cannot be
 * known, or no endpoint has come while the request may wait for one.
 *
 * ```ts
 * await setResumedVersion(context, {versions, clock, logger, metrics});
 * ```
 */
export async function setResumedVersion(
  context: RequestContext,
  parts: ResumptionParts,
): Promise<void> {
  if (!context.isResumption) return;
  const {request} = context;
  const decision = await Promise.race([
    decideInTime(context, parts),
    context.cancelled,
  ]);
  const {kind} = decision;
  parts.metrics.count('stream-resumed', {version: kind});
  parts.logger.info('stream-resumed', {
    request: request.id,
    resumes: request.resumes ?? '',
    lastEvent: request.lastEvent ?? '',
    decision: kind,
    version: kind === 'known' ? decision.version : '',
  });
  context.streamVersion = versionToGoOnAt(decision);
}

/**
 * Decides as soon as an endpoint of the service is known. What served when the
 * caller came counts, so the time of the wait does not.
 */
async function decideInTime(
  context: RequestContext,
  {versions, clock}: ResumptionParts,
): Promise<VersionDecision> {
  const {service, request, arrived} = context;
  const waitEnd = clock.monotonic() + maxQueueTime(context.timeLeft);
  for (;;) {
    const decision = await versions.versionOf(
      service,
      request.resumes,
      arrived,
    );
    if (decision.kind !== 'no-endpoint') return decision;
    const patience = waitEnd - clock.monotonic();
    const isKnown = await versions.whenEndpointKnown(service, patience);
    if (!isKnown) return decision;
  }
}

/** The version that binds a stream. Throws a Refusal if there is none. */
function versionToGoOnAt(decision: VersionDecision): string {
  switch (decision.kind) {
    case 'known':
      return decision.version;
    case 'unversioned':
      return UNSTATED_VERSION;
    case 'no-endpoint':
      throw new Refusal(
        'queue-timeout',
        'not-run',
        'no endpoint from which the version of the stream is known',
      );
    case 'unknown':
      throw new Refusal(
        'stream-version-unknown',
        'not-run',
        'it is not known which version began the stream',
      );
  }
}
