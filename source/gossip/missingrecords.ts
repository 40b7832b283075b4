/**
 * Which records the store has delivered to other hosts and, for a while, not to
 * this one, so that it requests them from a host that is ahead.
 */
import {isBefore} from '../store/index.js';
import type {Member} from './members.js';
import type {TopicPosition} from './message.js';
import {positionOf} from './records.js';

/**
 * Milliseconds for which another host may be ahead before this one requests
 * records.
 */
const BEHIND_GRACE_MILLISECONDS = 250;

/** A topic of which a host is behind. */
export interface MissingTopic {
  /** How far this host knows the topic. */
  readonly own: TopicPosition;
  /** A host that knows more of it. */
  readonly ahead: Member;
}

/** How long this host has been behind, by topic. */
export class MissingRecords {
  /** Monotonic milliseconds since which another host is ahead. */
  private readonly behindSince = new Map<string, number>();

  /**
   * Records this host's positions and those of the hosts that it can reach;
   * returns the topics of which records are to be requested.
   */
  update(
    positions: readonly TopicPosition[],
    reachable: readonly Member[],
    now: number,
  ): MissingTopic[] {
    const missing: MissingTopic[] = [];
    for (const own of positions) {
      const {topic, position, era} = own;
      const ahead = reachable.find(({pulse}) =>
        isBefore(
          {offset: position, era},
          positionOf(pulse?.positions ?? [], topic),
        ),
      );
      if (!ahead) {
        this.behindSince.delete(topic);
        continue;
      }
      const since = this.behindSince.get(topic) ?? now;
      this.behindSince.set(topic, since);
      if (now - since >= BEHIND_GRACE_MILLISECONDS) missing.push({own, ahead});
    }
    return missing;
  }
}
