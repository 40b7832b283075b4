/**
 * What is logged, and told the other hosts, when an endpoint limits what it is
 * sent or wants to be sent nothing.
 */
import type {LimitChange, WithholdingChange} from '../balance/index.js';
import type {HostContext} from './context.js';

/** Logs that an endpoint has told this host to send it nothing. */
export function logWithholding(
  {logger, metrics}: HostContext,
  change: WithholdingChange,
): void {
  const {kind, id: endpoint} = change;
  metrics.count('endpoint-withheld', {reason: kind});
  if (kind === 'leaving') logger.info('endpoint-leaving', {endpoint});
  else logger.info('endpoint-backoff', {endpoint, duration: change.duration});
}

/**
 * Logs the limit of an endpoint. If this host was told by the endpoint, tells
 * the others at once that a limit has begun or ended; its changes are left to
 * the pulses.
 */
export function handleLimitChange(
  {logger, metrics, address, gossip}: HostContext,
  {id, before, rate, isOwn}: LimitChange,
): void {
  const source = isOwn ? 'response' : 'another-host';
  if (rate === undefined) logger.info('limit-ended', {endpoint: id, source});
  else logger.info('limit-named', {endpoint: id, rate, source});
  metrics.count('limit-change', {source});
  const hasBegunOrEnded = before === undefined || rate === undefined;
  if (!isOwn || !hasBegunOrEnded) return;
  const limits = [{id, rate, ago: 0}];
  gossip()?.broadcast({kind: 'limits', from: address, limits});
}
