/**
 * The host processes of a soak: starts, ends and freezes them by their own ids,
 * starts each anew that ended by itself, and checks how they start, how they end
 * and how much memory they take.
 */
import {
  statusOf,
  type EdgeFleet,
  type HostPlace,
  type HostProcess,
} from '../test/support/edgeprocess.js';
import {readProcess} from '../tools/process.js';
import {
  isBooting,
  isTooLarge,
  StartBound,
  type SignalReading,
} from './bounds.js';
import {FEW_DESCRIPTORS_HOST} from './descriptorplan.js';
import type {CommonStart, MachineFault} from './faults.js';
import type {Ledger} from './ledger.js';
import {holdAddress} from './ports.js';
import {listensForReload, processorWaitOf} from './processor.js';
import {FaultyProxy} from './proxy.js';
import {deployNodeFlags} from './deployfile.js';
import type {Station} from './station.js';
import {wait} from './wait.js';

const UNDISTURBED = {
  disturbed: 0,
  calmed: 0,
  up: true,
  stopping: false,
  held: 0,
  frozen: 0,
  starting: undefined,
};
/** As on the users’ machines, by the settings of their hosts. */
const MEMORY_MEGABYTES = 350;
/** Of one host: fewer than on the users’ machines, so that callers use them up. */
const FEW_DESCRIPTORS = 400;
const RESTART_MILLISECONDS = 300;
const POLL_MILLISECONDS = 50;
/** A pause of one poll that lasts longer shows that the soak itself is late. */
const STARVED_MILLISECONDS = 150;
const MEMORY_MILLISECONDS = 100;
const READY_MILLISECONDS_MOST = 1_000;
/** From the order to stop: the grace time, freezes, and some more. */
const STOP_MILLISECONDS_MOST = 20_000;
/** Processes that are started one after the other where none becomes ready. */
const STARTS_MOST = 3;
const ERROR_LENGTH = 400;

type PortHeld = Extract<MachineFault, {kind: 'port-held'}>;
type SignalAtStart = Extract<MachineFault, {kind: 'signal-at-start'}>;

/** All hosts. */
export class SoakHosts {
  readonly stations: Station[] = [];
  /** The most that a host process has taken of memory. */
  peakMegabytes = 0;
  /** Host processes that were told to end, and by which signal. */
  private readonly told = new Map<HostProcess, 'SIGKILL' | 'SIGTERM'>();
  /** What processes were at when the last signal came. */
  private readonly signalled = new Map<HostProcess, SignalReading>();
  private over = false;

  constructor(
    private readonly fleet: EdgeFleet,
    private readonly ledger: Ledger,
  ) {
    fleet.memoryMegabytes = MEMORY_MEGABYTES;
  }

  /** Starts so many hosts; resolves when they are ready or it is sure that none will be. */
  async start(count: number, how: CommonStart): Promise<void> {
    const node = deployNodeFlags();
    const places: HostPlace[] = [];
    const stores: FaultyProxy[] = [];
    for (let index = 0; index < count; index++) {
      const store = new FaultyProxy(this.fleet.site.address);
      await store.start();
      stores.push(store);
      const name = `host-${index}`;
      const {address} = store;
      const hasFew = index === FEW_DESCRIPTORS_HOST;
      const flags = {node, ...(hasFew && {descriptors: FEW_DESCRIPTORS})};
      places.push(await this.fleet.place(name, undefined, address, flags));
    }
    const held = places[how.held?.host ?? -1];
    const release =
      how.held && held
        ? await holdAddress(held[how.held.port])
        : () => undefined;
    const back = this.storeBack(how.storeAway);
    const starting = places.map(async (place, index) => {
      const store = stores[index];
      await wait(how.delays[index] ?? 0);
      if (!store || this.over) return;
      const process = this.fleet.launch(place);
      const station = {process, store, ...UNDISTURBED};
      this.stations[index] = station;
      this.watch(station, process);
      const isHeld = how.held?.host === index;
      await Promise.all([
        isHeld && this.releaseAfter(station, release, how.held.lasts),
        this.awaitStart(station),
      ]);
    });
    await Promise.all([...starting, back]);
  }

  at(index: number): Station {
    const station = this.stations[index];
    if (!station) throw new RangeError(`no host ${index}`);
    return station;
  }

  /** Whether a process was killed from outside. */
  wasKilled(process: HostProcess): boolean {
    return this.told.get(process) === 'SIGKILL';
  }

  /** Ends a host and starts it anew; resolves when it is ready. */
  async restart(
    station: Station,
    how: 'kill' | 'stop',
    /** Milliseconds after which it is told a second time. */
    gap?: number,
  ): Promise<void> {
    if (!station.up) return;
    await this.endProcess(station, how, gap);
    await wait(RESTART_MILLISECONDS);
    await this.bringUp(station, how);
  }

  /** As a restart; a stranger takes a port as soon as it is free. */
  async restartHeld({host, how, port, lasts}: PortHeld): Promise<void> {
    const station = this.at(host);
    if (!station.up) return;
    await this.endProcess(station, how);
    await wait(RESTART_MILLISECONDS);
    const release = await holdAddress(station.process[port]);
    await Promise.all([
      this.releaseAfter(station, release, lasts),
      this.bringUp(station, how),
    ]);
  }

  /** Starts a host anew while its predecessor still drains. */
  async succeed(station: Station): Promise<void> {
    if (!station.up) return;
    const ended = this.endProcess(station, 'stop');
    const successor = this.fleet.restart(station.process);
    this.watch(station, successor);
    await ended;
    station.process = successor;
    station.up = true;
    station.stopping = false;
    await this.awaitStart(station);
  }

  /** Starts a host anew and sends it a signal a while after that. */
  async signalAtStart({host, signal, after}: SignalAtStart): Promise<void> {
    const station = this.at(host);
    if (!station.up) return;
    await this.endProcess(station, 'kill');
    await wait(RESTART_MILLISECONDS);
    const started = this.bringUp(station, 'kill');
    await wait(after);
    if (signal === 'SIGTERM') await this.restart(station, 'stop');
    else this.reload(station);
    await started;
  }

  /** Kills all hosts and starts them together. */
  async startAll({delays, storeAway, held}: CommonStart): Promise<void> {
    const back = this.storeBack(storeAway);
    const up = this.stations.filter(station => station.up);
    await Promise.all(up.map(station => this.endProcess(station, 'kill')));
    await wait(RESTART_MILLISECONDS);
    const starting = up.map(async station => {
      const index = this.stations.indexOf(station);
      let free: Promise<void> | undefined;
      if (held?.host === index) {
        const release = await holdAddress(station.process[held.port]);
        free = this.releaseAfter(station, release, held.lasts);
      }
      await wait(delays[index] ?? 0);
      await this.bringUp(station, 'kill');
      await free;
    });
    await Promise.all([...starting, back]);
  }

  reload({process, up}: Station): void {
    if (up) this.signal(process, 'SIGHUP');
  }

  async freeze(station: Station, lasts: number): Promise<void> {
    const {child} = station.process;
    station.disturbed++;
    station.frozen++;
    child.kill('SIGSTOP');
    await wait(lasts);
    child.kill('SIGCONT');
    station.frozen--;
    station.calmed++;
  }

  /** Ends a process that takes more memory than its settings say, as the platform does. */
  async watchMemory(station: Station): Promise<void> {
    while (!this.over) {
      await wait(MEMORY_MILLISECONDS);
      const {process, up} = station;
      const resident = readingOf(process)?.residentMegabytes ?? 0;
      this.peakMegabytes = Math.max(this.peakMegabytes, resident);
      if (!up || !isTooLarge(resident, MEMORY_MEGABYTES)) continue;
      this.ledger.tooLarge(process.name, resident);
      await this.restart(station, 'kill');
    }
  }

  /** No process is checked or started from now on. */
  end(): void {
    this.over = true;
    for (const {store} of this.stations) store.stop();
  }

  /** The store is away for so many milliseconds; resolves when it is back. */
  private async storeBack(after: number): Promise<void> {
    if (after === 0) return;
    const {faults} = this.fleet.site;
    faults.away = true;
    await wait(after);
    faults.away = false;
  }

  private async endProcess(
    station: Station,
    how: 'kill' | 'stop',
    gap?: number,
  ): Promise<void> {
    station.up = false;
    if (how === 'kill') station.disturbed++;
    else station.stopping = true;
    const {process} = station;
    const signal = how === 'kill' ? 'SIGKILL' : 'SIGTERM';
    this.told.set(process, signal);
    this.signal(process, signal);
    if (gap !== undefined) {
      await Promise.race([wait(gap), process.ended]);
      this.signal(process, signal);
    }
    // A host that is frozen as well ends when it wakes.
    const late = wait(STOP_MILLISECONDS_MOST).then(() => 'late' as const);
    if ((await Promise.race([process.ended, late])) !== 'late') return;
    if (!this.over)
      this.ledger.ended(process.name, `not ${STOP_MILLISECONDS_MOST} ms after`);
    this.told.set(process, 'SIGKILL');
    process.child.kill('SIGKILL');
    await process.ended;
  }

  private async bringUp(station: Station, how: 'kill' | 'stop'): Promise<void> {
    this.launch(station);
    await this.awaitStart(station);
    if (how === 'kill') station.calmed++;
  }

  private launch(station: Station): void {
    if (this.over) return;
    station.process = this.fleet.restart(station.process);
    station.up = true;
    station.stopping = false;
    this.watch(station, station.process);
  }

  /** Resolves when the port is free. */
  private async releaseAfter(
    station: Station,
    release: () => void,
    lasts: number,
  ): Promise<void> {
    station.held++;
    await wait(lasts);
    release();
    station.held--;
  }

  /** Resolves when a host is ready, or is overdue and was started anew in vain. */
  private awaitStart(station: Station): Promise<void> {
    station.starting ??= this.checkStart(station).finally(
      () => (station.starting = undefined),
    );
    return station.starting;
  }

  private async checkStart(station: Station): Promise<void> {
    for (let starts = 0; starts < STARTS_MOST && !this.over; starts++) {
      const overdue = await this.overdueProcess(station);
      if (!overdue) return;
      this.ledger.overdue(`${overdue.name} ${overdue.child.pid}`);
      this.told.set(overdue, 'SIGKILL');
      overdue.child.kill('SIGKILL');
      await overdue.ended;
      if (station.process === overdue && station.up) this.launch(station);
    }
  }

  /** The process that is overdue to be ready; none if one became ready in time. */
  private async overdueProcess(
    station: Station,
  ): Promise<HostProcess | undefined> {
    let {process} = station;
    let bound = new StartBound(performance.now());
    let isStarved = false;
    while (!this.over) {
      if (process !== station.process) {
        process = station.process;
        bound = new StartBound(performance.now());
      }
      const isReady = await isReadyHost(process);
      const isBlocked = this.isBlocked(station);
      if (isReady && station.up) return undefined;
      const processorWait = processorWaitOf(process.child.pid);
      const reading = {isReady, isBlocked, processorWait, isStarved};
      if (bound.isOverdue(reading, performance.now())) return process;
      const asleepAt = performance.now();
      await wait(POLL_MILLISECONDS);
      isStarved = performance.now() - asleepAt > STARVED_MILLISECONDS;
    }
    return undefined;
  }

  /** Whether something is missing that a host waits for. */
  private isBlocked({up, held, frozen, store}: Station): boolean {
    const {away, busy} = this.fleet.site.faults;
    return !up || held > 0 || frozen > 0 || away || busy || !store.passes;
  }

  private signal(process: HostProcess, name: NodeJS.Signals): void {
    const reading = readingOf(process);
    const listens = listensForReload(process.child.pid);
    const processorTime = (reading?.processor ?? 0) * 1_000;
    if (reading) this.signalled.set(process, {processorTime, listens});
    process.child.kill(name);
  }

  /** Checks how a process ends, and starts one anew that ended by itself. */
  private watch(station: Station, process: HostProcess): void {
    const started = performance.now();
    void process.ended.then(async code => {
      if (this.over) return;
      const {signalCode} = process.child;
      const signal = this.told.get(process);
      const reading = this.signalled.get(process);
      const isExcused = signalCode !== null && reading && isBooting(reading);
      const isStopped = signal === 'SIGTERM' && code === 0;
      if (signal === 'SIGKILL' || isStopped) return;
      const age = Math.round(performance.now() - started);
      const error = process.errors.join('').slice(-ERROR_LENGTH);
      if (!isExcused)
        this.ledger.ended(
          process.name,
          `${code} ${signalCode} after ${age} ms, ${JSON.stringify(reading)}, ` +
            `${process.lines.length} lines ${error}`,
        );
      if (signal) return;
      await wait(RESTART_MILLISECONDS);
      if (station.process !== process || !station.up) return;
      this.launch(station);
      await this.awaitStart(station);
    });
  }
}

function readingOf({
  child,
}: HostProcess): ReturnType<typeof readProcess> | undefined {
  const isOver = child.exitCode !== null || child.signalCode !== null;
  if (isOver || child.pid === undefined) return undefined;
  try {
    const reading = readProcess(child.pid);
    // A process that has just ended has no memory.
    return Number.isNaN(reading.residentMegabytes) ? undefined : reading;
  } catch {
    return undefined;
  }
}

async function isReadyHost({readiness}: HostProcess): Promise<boolean> {
  const late = wait(READY_MILLISECONDS_MOST).then(() => 0);
  return (await Promise.race([statusOf(readiness, '/'), late])) === 200;
}
