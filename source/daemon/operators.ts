/**
 * The operators' port: probes for the balancer, metrics, and what the host
 * knows. It changes nothing; operators act through the platform's log.
 */
import {createServer, type Server} from 'node:http';

import {hostStatusSchema, type HostStatus} from '../operator/index.js';
import type {Host} from './host.js';

interface Reply {
  readonly status: number;
  readonly value: unknown;
}

/** Makes the server of the operators’ port. */
export function createOperatorPort(host: Host): Server {
  return createServer((message, response) => {
    const {status, value} = replyOrFailure(host, message.url ?? '/');
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(`${JSON.stringify(value)}\n`);
  });
}

function replyOrFailure(host: Host, url: string): Reply {
  try {
    return reply(host, url);
  } catch (error) {
    const detail = error instanceof Error ? error.message : 'unknown';
    host.logger.error('operators-port-failed', {detail});
    return {status: 500, value: {error: 'internal'}};
  }
}

function reply(host: Host, url: string): Reply {
  const {pathname} = new URL(url, 'http://host');
  switch (pathname) {
    case '/live':
      return {status: 200, value: {live: true}};
    case '/ready': {
      const ready = host.stateName === 'serving';
      return {status: ready ? 200 : 503, value: {ready}};
    }
    case '/metrics':
      return {status: 200, value: host.metrics.snapshot()};
    case '/status':
      return {status: 200, value: statusOf(host)};
    case '/configuration':
      return {status: 200, value: configurationOf(host)};
    default:
      return {status: 404, value: {error: 'not-found'}};
  }
}

function statusOf(host: Host): HostStatus {
  const {settings, configuration} = host;
  return hostStatusSchema.parse({
    name: settings.name,
    zone: settings.zone,
    incarnation: host.incarnation,
    state: host.stateName,
    applied: host.fold.next - 1,
    configuration: configuration.offset,
    digest: configuration.digest,
    malformed: host.fold.malformed,
    diverged: host.fold.diverged,
    logInReach: host.zone.logInReach,
    logAge: Math.min(host.zone.record.age, Number.MAX_SAFE_INTEGER),
    waiting: host.plane.admission.waiting,
    underWay: host.exchanges.size,
    peers: host.zone.peers().map(({hello}) => hello.name),
    leases: host.zone.leases.list().map(({lease, state, status: standing}) => ({
      lease,
      state,
      holder: standing?.holder ?? '',
      fence: standing?.fence ?? -1,
    })),
    claims: host.zone.record.claimCount,
    endpoints: host.zone.endpoints
      .list()
      .map(({endpoint, state, running, zoneIn}) => ({
        name: endpoint.name,
        zone: endpoint.zone,
        pool: endpoint.pool,
        state,
        running,
        zoneIn,
      })),
  });
}

function configurationOf({configuration}: Host) {
  const {tables, offset, digest} = configuration;
  const listed = Object.entries(tables).map(([collection, table]) => ({
    collection,
    objects: [...table.entries()].map(([name, {revision, object}]) => ({
      name,
      revision,
      object,
    })),
  }));
  return {offset, digest, listed};
}
