/** What a host says in its pulses, and what it takes from those of others. */
import type {EndpointSelector} from '../balance/index.js';
import type {Cancel} from '../clock/index.js';
import {
  incarnationOf,
  rateReportBytes,
  type OwnState,
  type Pulse,
} from '../gossip/index.js';
import type {UsageMeter} from '../leader/index.js';
import type {Quarantine} from '../quarantine/index.js';
import type {HostContext} from './context.js';
import type {PlatformView} from './platformview.js';

/** Milliseconds for which pulses of other hosts are batched. */
const PULSE_BATCH_MILLISECONDS = 50;

/** The components of the host that pulses report on and are applied to. */
export interface PulseParts {
  readonly selector: EndpointSelector;
  readonly quarantine: Quarantine;
  readonly platformView: PlatformView;
  readonly usage: UsageMeter | undefined;
  /** Whether this host is leaving. */
  readonly isLeaving: () => boolean;
}

/** Connects the components of a host to the pulses. */
export class PulseExchange {
  private cancelBatch: Cancel | undefined;

  constructor(
    private readonly context: HostContext,
    private readonly parts: PulseParts,
  ) {}

  /**
   * Returns what this host reports; of recent events, those of the last `period`
   * milliseconds.
   */
  state(period: number): OwnState {
    const {selector, quarantine, platformView, usage, isLeaving} = this.parts;
    const now = this.context.clock.monotonic();
    const state = {
      leaving: isLeaving(),
      positions: platformView.positions,
      uses: selector.loadReports(),
      work: selector.ownDemands(),
      unreachable: selector.unreachableEndpoints().map(({entry}) => entry.id),
      kept: selector.prefixCache.prefillsSince(now - period),
      blocked: quarantine.takeEntriesForPulse(),
      limits: selector.limitStatementsSince(now - period),
      certainUsage: usage?.freezes.certainWindow,
    };
    const rates = selector.rates.takeReports(rateReportBytes(state), now);
    return {...state, rates};
  }

  /** Takes the content of a pulse; that on load is applied in batches. */
  receive(pulse: Pulse): void {
    const {kept, from, sheets, blocked, limits, certainUsage} = pulse;
    const {rates = []} = pulse;
    const {selector, quarantine, usage} = this.parts;
    const {clock} = this.context;
    if (pulse.time !== undefined) clock.recordPeerTime(from.name, pulse.time);
    quarantine.handleEntries(blocked);
    selector.setLimitReports(limits);
    selector.rates.addReports(rates, clock.monotonic());
    if (certainUsage) usage?.freezes.handleCertainWindow(certainUsage);
    if (sheets.length > 0) usage?.keepReplica(incarnationOf(from), sheets);
    selector.prefixCache.addReports(kept, clock.monotonic());
    this.cancelBatch ??= clock.after(PULSE_BATCH_MILLISECONDS, () => {
      this.cancelBatch = undefined;
      this.applyPulses();
    });
  }

  private applyPulses(): void {
    const {selector} = this.parts;
    const gossip = this.context.gossip();
    if (!gossip) return;
    const pulses = gossip.reachableMembers.flatMap(({pulse}) => pulse ?? []);
    selector.setSharing(gossip.sharing);
    selector.setUnreachableReports(
      pulses.flatMap(({unreachable}) => unreachable),
    );
    selector.setHostReports(
      pulses.flatMap(({uses}) => uses),
      pulses.flatMap(({work}) => work),
    );
  }
}
