/**
 * Which hosts share the limits in the eyes of this one, and how sure it is of
 * that: from the pulses of others, from the store, and from the seeds.
 */
import {createHash} from 'node:crypto';

import {
  confidenceOf,
  type MembershipConfidence,
  type SharingHosts,
} from '../membership/index.js';
import {Contacts, type ContactSource, type HostToContact} from './contacts.js';
import {
  hasSilentHosts,
  hostsSharingLimits,
  reachableMembers,
  type Member,
  type Members,
} from './members.js';
import type {HostAddress} from './message.js';
import type {GossipOptions} from './options.js';

/** Milliseconds after which a store that has not answered is out of touch. */
const STORE_SILENCE_MILLISECONDS = 5_000;
/**
 * Milliseconds after the start until what another host says counts as all that it
 * knows: its lists have come, and the hosts in them have answered.
 */
const PEER_LIST_MILLISECONDS = 2_000;
/** Hexadecimal digits of the digest of the hosts' names. */
const DIGEST_LENGTH = 8;
const CONFIDENCES: readonly MembershipConfidence[] = [
  'confirmed',
  'separated',
  'unconfirmed',
];

/** How this host came to know another. */
export type DiscoverySource = ContactSource | 'pulse' | 'host-list' | 'restart';

/** What the view is created from. */
export type MembershipViewOptions = Pick<
  GossipOptions,
  | 'self'
  | 'seeds'
  | 'clock'
  | 'logger'
  | 'metrics'
  | 'storeAnsweredAt'
  | 'onSharingChanged'
>;

/** Which hosts share the limits; logs and reports each change of that. */
export class MembershipView {
  /** The hosts that are contacted though they are not known. */
  readonly contacts: Contacts;
  /** Whether the store or a host that was sure has told of the others. */
  wasTold = false;
  /** Monotonic milliseconds of the first pulses; Infinity before. */
  private startedAt = Infinity;
  private reported: SharingHosts | undefined;

  constructor(
    private readonly options: MembershipViewOptions,
    private readonly members: () => Members,
  ) {
    const {self, seeds, clock, metrics} = options;
    this.contacts = new Contacts(self, clock);
    this.contacts.setSeeds(seeds);
    metrics.gauge('hosts-sharing-limits', {}, () => this.sharing.hosts.length);
    metrics.gauge('hosts-reachable', {}, () => this.reachable.length);
    for (const confidence of CONFIDENCES)
      metrics.gauge('membership-confidence', {confidence}, () =>
        this.sharing.confidence === confidence ? 1 : 0,
      );
  }

  /** Notes that this host sends pulses from now on. */
  start(): void {
    this.startedAt = this.options.clock.monotonic();
  }

  /** The hosts that share the limits, this one among them. */
  get sharing(): SharingHosts {
    const now = this.options.clock.monotonic();
    const members = this.members();
    const named = this.contacts.sharingNames(now);
    const hosts = hostsSharingLimits(members, this.options.self.name, named);
    const confidence = confidenceOf({
      wasTold: this.wasTold,
      hasSilentHosts: hasSilentHosts(members, now),
      isStoreInTouch: this.isStoreInTouch,
    });
    return {hosts, confidence};
  }

  get isStoreInTouch(): boolean {
    const {clock, storeAnsweredAt} = this.options;
    return clock.monotonic() - storeAnsweredAt() < STORE_SILENCE_MILLISECONDS;
  }

  /** Contacts hosts that the store names; with them it has told of all others. */
  handleList(hosts: readonly HostToContact[]): void {
    this.contacts.addListed(hosts);
    this.wasTold = true;
    this.update();
  }

  /** Takes the word of reachable hosts, and reports what has changed. */
  update(): void {
    const {clock, logger, onSharingChanged} = this.options;
    if (clock.monotonic() - this.startedAt >= PEER_LIST_MILLISECONDS)
      this.wasTold ||= this.reachable.some(isConfirmed);
    const {sharing} = this;
    if (this.reported && isSame(this.reported, sharing)) return;
    this.reported = sharing;
    const {hosts, confidence} = sharing;
    logger.info('membership', {
      hosts: hosts.length,
      reachable: this.reachable.length,
      confidence,
      digest: digestOf(hosts),
    });
    onSharingChanged(sharing);
  }

  /** How this host came to know one whose first pulse has come. */
  sourceOf(host: HostAddress, before: Member | undefined): DiscoverySource {
    if (before) return before.pulse ? 'restart' : 'host-list';
    return this.contacts.sourceOf(host.address) ?? 'pulse';
  }

  private get reachable(): Member[] {
    return reachableMembers(this.members(), this.options.clock.monotonic());
  }
}

function isConfirmed({pulse}: Member): boolean {
  return pulse !== undefined && pulse.confirmed !== false;
}

function isSame(one: SharingHosts, other: SharingHosts): boolean {
  return (
    one.confidence === other.confidence &&
    one.hosts.length === other.hosts.length &&
    one.hosts.every((name, index) => name === other.hosts[index])
  );
}

/** A short text that differs between hosts which count different hosts. */
function digestOf(hosts: readonly string[]): string {
  const hash = createHash('sha256').update(hosts.join('\n')).digest('hex');
  return hash.slice(0, DIGEST_LENGTH);
}
