/**
 * The ports of one host. It serves once the ports for callers and for readiness
 * probes are open; without the others it serves all the same, and they are tried
 * on.
 */
import type {Server} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock} from '../clock/index.js';
import {openDescriptors, type DescriptorBudget} from '../descriptors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {Port} from '../ports/index.js';
import type {EdgeSettings} from './settings.js';

/** What the ports of a host are made from. */
export interface EdgePortsParts {
  readonly settings: EdgeSettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** The port for callers, which closes in its own time. */
  readonly front: Port;
  /** The port for other hosts, which opens in its own time. */
  readonly control: Port | undefined;
  readonly readiness: Server;
  readonly operators: Server;
  /** Undefined if no limit is known. */
  readonly descriptors: DescriptorBudget | undefined;
}

/** Opens and closes the ports of a host. */
export class EdgePorts {
  private readonly readiness: Port;
  private readonly operators: Port | undefined;

  constructor(private readonly parts: EdgePortsParts) {
    const {settings, clock, logger, metrics} = parts;
    const common = {clock, logger, metrics};
    for (const server of [parts.readiness, parts.operators]) {
      server.on('connection', (socket: Socket) =>
        openDescriptors.addSocket('operators', socket),
      );
      // Node closes a connection beyond this; probes and operators try again.
      if (parts.descriptors)
        server.maxConnections = Math.ceil(parts.descriptors.operators / 2);
    }
    this.readiness = new Port({
      ...common,
      role: 'readiness',
      address: settings.readiness,
      server: parts.readiness,
      isRequired: true,
    });
    if (settings.metrics === undefined) return;
    this.operators = new Port({
      ...common,
      role: 'metrics',
      address: settings.metrics,
      server: parts.operators,
      isRequired: false,
    });
  }

  /**
   * Opens all ports but the one for other hosts. Resolves, as soon as this host
   * can serve, with true; with false if it cannot because its ports were closed
   * first or the one for other hosts has failed. Rejects with a PortError if
   * waiting does not open a port that is required.
   */
  async open(): Promise<boolean> {
    const {front, control} = this.parts;
    const required = [this.readiness.open(), front.open()];
    void this.operators?.open();
    const opened = await Promise.all(required);
    return opened.every(isOpen => isOpen) && !control?.hasFailed;
  }

  /** Ends the tries to open ports; those that are open stay so. */
  stopTrying(): void {
    for (const port of this.all) port?.stopTrying();
  }

  /** Closes all ports, and the connections of those for probes and operators. */
  close(): void {
    for (const port of this.all) port?.close();
    this.parts.readiness.closeAllConnections();
    this.parts.operators.closeAllConnections();
  }

  private get all(): ReadonlyArray<Port | undefined> {
    const {front, control} = this.parts;
    return [this.readiness, front, control, this.operators];
  }
}
