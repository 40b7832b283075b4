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
    const {status, value} = reply(host, message.url ?? '/');
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(`${JSON.stringify(value)}\n`);
  });
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
    logInReach: host.logInReach,
    waiting: host.plane.admission.waiting,
    underWay: host.exchanges.size,
    endpoints: host
      .listEndpoints()
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
