/** What a soak may do wrong, and how large its deployment is. */
import type {PortName} from './ports.js';
import type {ProxyMode} from './proxy.js';

/** One fault, or one step of planned work. */
export type Fault =
  | {readonly kind: 'kill' | 'stop' | 'reload'; readonly host: number}
  | {readonly kind: 'freeze'; readonly host: number; readonly lasts: number}
  | {
      readonly kind: 'store-cut';
      readonly host: number;
      readonly mode: ProxyMode;
      readonly lasts: number;
    }
  | {
      readonly kind: 'endpoint-cut';
      readonly endpoint: number;
      readonly mode: ProxyMode;
      readonly lasts: number;
    }
  | {
      readonly kind: 'store-away' | 'store-busy';
      readonly lasts: number;
    }
  | {readonly kind: 'store-loses'; readonly answers: number}
  | {readonly kind: 'store-forgets'}
  | {
      readonly kind: 'store-restored';
      /** Milliseconds of writing that are lost. */
      readonly age: number;
      /** Milliseconds for which the store is away. */
      readonly lasts: number;
      /** Milliseconds after which writers have written again what is lost. */
      readonly rewrittenAfter: number;
    }
  | {
      readonly kind: 'endpoint-leaves' | 'endpoint-crashes';
      readonly endpoint: number;
    }
  | {readonly kind: 'keys-change'}
  | {
      readonly kind: 'stop-twice';
      readonly host: number;
      /** Milliseconds from the first signal to the second. */
      readonly gap: number;
    }
  | {readonly kind: 'overload'; readonly lasts: number}
  /** A request on which endpoints crash comes again and again at all hosts. */
  | {readonly kind: 'deadly'; readonly lasts: number}
  | MachineFault;

/** When all hosts start, and what is missing then. */
export interface CommonStart {
  /** Milliseconds after which each host starts, by its index. */
  readonly delays: readonly number[];
  /** Milliseconds from the first start for which the store is away. */
  readonly storeAway: number;
  readonly held?: {
    readonly host: number;
    readonly port: PortName;
    readonly lasts: number;
  };
}

/** One fault of the machine, or of a neighbour that reads nothing or sends much. */
export type MachineFault =
  /** All hosts are killed and start together. */
  | {readonly kind: 'all-started'; readonly start: CommonStart}
  /** A host ends, and a stranger holds a port of it for so many milliseconds. */
  | {
      readonly kind: 'port-held';
      readonly host: number;
      readonly how: 'kill' | 'stop';
      readonly port: PortName;
      readonly lasts: number;
    }
  /** A host starts while its predecessor still drains. */
  | {readonly kind: 'early-successor'; readonly host: number}
  | {
      readonly kind: 'signal-at-start';
      readonly host: number;
      readonly signal: 'SIGHUP' | 'SIGTERM';
      /** Milliseconds after the start. */
      readonly after: number;
    }
  | {
      readonly kind: 'large-bodies';
      readonly host: number;
      readonly lasts: number;
      /** Whether no endpoint reads meanwhile. */
      readonly isUnread: boolean;
    }
  | {
      readonly kind: 'deaf-callers';
      readonly host: number;
      readonly lasts: number;
    }
  /** Connections to a host on which no request is ever finished. */
  | {
      readonly kind: 'unfinished-heads';
      readonly host: number;
      readonly lasts: number;
    }
  | {
      readonly kind: 'deaf-endpoint';
      readonly endpoint: number;
      readonly lasts: number;
    };

/** A fault with its time, in milliseconds from the start. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** How large the deployment is. */
export interface SoakSize {
  readonly hosts: number;
  readonly endpoints: number;
  /** Milliseconds of faults. */
  readonly lasts: number;
}
