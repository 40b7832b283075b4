/**
 * State charts, defined in the JSON files beside this module. When the program
 * starts, xstate interprets each chart once, and this module tabulates the next
 * state for every pair of state and event. While requests run, an event then
 * costs one lookup, whereas a transition interpreted by xstate takes
 * microseconds.
 */
import {
  createMachine,
  getInitialSnapshot,
  transition,
  type AnyMachineSnapshot,
  type MachineConfig,
} from 'xstate';
import type {MachineContext, EventObject} from 'xstate';

import {StateChartError} from '../errors/index.js';

/**
 * A state chart as a table of transitions. It holds no current state: the caller
 * keeps that and asks for the next one.
 *
 * ```ts
 * const next = requestChart.next('queued', 'dispatch'); // 'dispatched'
 * ```
 */
export class StateChart {
  readonly initial: string;
  private readonly nextStates = new Map<string, string>();

  constructor(
    readonly name: string,
    definition: object,
  ) {
    const config = definition as MachineConfig<MachineContext, EventObject>;
    const machine = createMachine(config);
    const initialSnapshot = getInitialSnapshot(machine);
    this.initial = String(initialSnapshot.value);
    for (const state of Object.keys(machine.states)) {
      const from = machine.resolveState({value: state, context: {}});
      for (const event of machine.events) {
        this.tabulateTransition(state, event, machine, from);
      }
    }
  }

  private tabulateTransition(
    state: string,
    event: string,
    machine: ReturnType<typeof createMachine>,
    from: AnyMachineSnapshot,
  ): void {
    if (!from.can({type: event})) return;
    const [after] = transition(machine, from as never, {type: event});
    this.nextStates.set(`${state} ${event}`, String(after.value));
  }

  /** Whether the chart has a transition for the event from the state. */
  allows(state: string, event: string): boolean {
    return this.nextStates.has(`${state} ${event}`);
  }

  /**
   * Returns the state that follows. Throws a StateChartError if the chart has no
   * transition for the event from the state.
   *
   * ```ts
   * chart.next('warm', 'depart'); // 'leaving'
   * ```
   */
  next(state: string, event: string): string {
    const nextState = this.nextStates.get(`${state} ${event}`);
    if (nextState === undefined)
      throw new StateChartError(this.name, state, event);
    return nextState;
  }
}
