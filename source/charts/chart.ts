/**
 * State charts stand in JSON files beside this module. xstate reads each chart
 * once, when the program starts, and this module asks it for the successor of
 * every pair of state and event. A request then costs a look-up for each event,
 * where an interpreted transition costs microseconds.
 */
import {
  createMachine,
  getInitialSnapshot,
  transition,
  type AnyMachineSnapshot,
  type MachineConfig,
} from 'xstate';
import type {MachineContext, EventObject} from 'xstate';

import {ChartError} from '../errors/index.js';

/**
 * A chart made ready for look-ups.
 *
 * ```ts
 * const next = requestChart.next('queued', 'dispatch'); // 'dispatched'
 * ```
 */
export class Chart {
  readonly initial: string;
  private readonly successors = new Map<string, string>();

  constructor(
    readonly name: string,
    definition: object,
  ) {
    const config = definition as MachineConfig<MachineContext, EventObject>;
    const machine = createMachine(config);
    const first = getInitialSnapshot(machine);
    this.initial = String(first.value);
    for (const state of Object.keys(machine.states)) {
      const from = machine.resolveState({value: state, context: {}});
      for (const event of machine.events) {
        this.learn(state, event, machine, from);
      }
    }
  }

  private learn(
    state: string,
    event: string,
    machine: ReturnType<typeof createMachine>,
    from: AnyMachineSnapshot,
  ): void {
    if (!from.can({type: event})) return;
    const [after] = transition(machine, from as never, {type: event});
    this.successors.set(`${state} ${event}`, String(after.value));
  }

  /** Whether the chart allows the event in the state. */
  allows(state: string, event: string): boolean {
    return this.successors.has(`${state} ${event}`);
  }

  /**
   * The state that follows. Throws a ChartError where the chart has none.
   *
   * ```ts
   * chart.next('warm', 'depart'); // 'leaving'
   * ```
   */
  next(state: string, event: string): string {
    const successor = this.successors.get(`${state} ${event}`);
    if (successor === undefined) throw new ChartError(this.name, state, event);
    return successor;
  }
}
