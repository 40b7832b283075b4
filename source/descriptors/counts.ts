/**
 * The descriptors that this process has open, by use. They are counted where they
 * are opened and closed: to ask the system, a file would have to be opened, which
 * fails in the very moment in which the count matters.
 */
import type {EventEmitter} from 'node:events';

import type {DescriptorUse} from './budget.js';

/** All uses of a descriptor. */
export const DESCRIPTOR_USES: readonly DescriptorUse[] = [
  'callers',
  'endpoints',
  'hosts',
  'store',
  'probes',
  'operators',
];

/** How many descriptors are open. */
export class DescriptorCounts {
  private readonly open = new Map<DescriptorUse, number>();
  private readonly listeners = new Set<(use: DescriptorUse) => void>();

  /** Descriptors that are open for a use. */
  of(use: DescriptorUse): number {
    return this.open.get(use) ?? 0;
  }

  /** All descriptors that are counted. */
  get total(): number {
    let total = 0;
    for (const count of this.open.values()) total += count;
    return total;
  }

  /** Counts one descriptor; returns a function that counts it as closed, once. */
  add(use: DescriptorUse): () => void {
    this.open.set(use, this.of(use) + 1);
    let isOpen = true;
    return () => {
      if (!isOpen) return;
      isOpen = false;
      this.open.set(use, this.of(use) - 1);
      for (const listener of this.listeners) listener(use);
    };
  }

  /**
   * Counts a socket until it has closed.
   *
   * ```ts
   * server.on('connection', socket => openDescriptors.addSocket('hosts', socket));
   * ```
   */
  addSocket(use: DescriptorUse, socket: EventEmitter): () => void {
    const release = this.add(use);
    socket.once('close', release);
    return release;
  }

  /** Calls back with the use of each descriptor that is closed. */
  onClosed(listener: (use: DescriptorUse) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

/** The counts of this process. */
export const openDescriptors = new DescriptorCounts();
