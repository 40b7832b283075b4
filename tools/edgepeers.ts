/**
 * The other hosts of a large fleet in the measurement of one host's cost: what
 * they tell it in their pulses.
 */
import {SystemClock} from '../source/clock/index.js';
import {OutboundConnection, type Pulse} from '../source/gossip/index.js';
import {MODEL, partOf, SUBJECTS} from './edgecallers.js';

const PULSE_MILLISECONDS_PER_HOST = 40;
/** Requests a second from which the constants of a pulse are taken. */
const PULSE_RATE = 9.3;
/** Parts of prompts that another host names in one pulse, at that rate. */
const KEPT_TOLD = 27;
/** Engines at which another host has a request, at that rate. */
const USES_TOLD = 6;
/** Milliseconds of engine time that another host's callers ask for, likewise. */
const LARGE_TOLD = 3_000;
const SMALL_TOLD = 1_500;

/** The fleet of which the measured host is one. */
export interface EdgeFleet {
  readonly hosts: number;
  readonly endpoints: number;
  /** Requests a second that each host gets. */
  readonly rate: number;
  /** Slots of an engine. */
  readonly slots: number;
  /** The ids of the endpoints. */
  readonly ids: readonly string[];
  /** Address at which the other hosts listen for what is sent to them. */
  readonly sink: string;
}

/** Requests at engines that another host tells of: its part of the slots. */
function usesTold({hosts, endpoints, rate, slots}: EdgeFleet): number {
  const scaled = Math.round(USES_TOLD * (rate / PULSE_RATE));
  const part = (endpoints * slots) / hosts;
  return Math.min(scaled, Math.floor(part));
}

/** What another host reports, which has as many callers as this one. */
function pulseOf(host: number, fleet: EdgeFleet, sequence: number): Pulse {
  const {hosts, rate, ids, sink} = fleet;
  const relativeRate = rate / PULSE_RATE;
  const name = `host-${host}`;
  const engine = () => ids[Math.floor(Math.random() * ids.length)] ?? '';
  const subject = () => Math.floor(Math.random() * SUBJECTS);
  return {
    kind: 'pulse',
    from: {
      name,
      started: 1,
      address: sink,
      zone: ['palermo', 'catania', 'siracusa'][host % 3] ?? '',
    },
    sequence,
    heard: sequence,
    period: hosts * PULSE_MILLISECONDS_PER_HOST,
    leaving: false,
    positions: [
      {topic: 'keyed.op', position: 1},
      {topic: 'keyed.servers', position: ids.length},
    ],
    uses: Array.from({length: usesTold(fleet)}, () => ({
      id: engine(),
      requests: 1,
      reading: 0,
    })),
    work: [
      {
        service: MODEL,
        large: LARGE_TOLD * relativeRate,
        small: SMALL_TOLD * relativeRate,
      },
    ],
    unreachable: [],
    blocked: [],
    limits: [],
    kept: Array.from(
      {length: Math.round(KEPT_TOLD * relativeRate)},
      (_, index) => ({
        part: partOf(subject(), index % 2),
        endpoint: engine(),
      }),
    ),
    sheets: [],
    hosts: [],
  };
}

/** Pulses to the host at an address as all the others would. */
export function startPeers(address: string, fleet: EdgeFleet): void {
  const clock = new SystemClock();
  const period = fleet.hosts * PULSE_MILLISECONDS_PER_HOST;
  for (let host = 2; host <= fleet.hosts; host++) {
    const outbox = new OutboundConnection(address, clock);
    let sequence = 0;
    const tell = () => outbox.send(pulseOf(host, fleet, ++sequence));
    setTimeout(() => {
      tell();
      setInterval(tell, period);
    }, Math.random() * period);
  }
}
