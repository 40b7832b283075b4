/** Disturbances of the whole deployment, beside those of single hosts. */
import type {Station} from './station.js';

/** How many disturbances there were, and whether one lasts. */
export class Troubles {
  private begun = 0;
  private ended = 0;

  begin(): void {
    this.begun++;
  }

  end(): void {
    this.ended++;
  }

  /** Disturbances of a host so far. */
  disturbancesOf({disturbed}: Station): number {
    return disturbed + this.begun;
  }

  /** Whether nothing disturbs a host. */
  isCalm({calmed, disturbed}: Station): boolean {
    return calmed === disturbed && this.ended === this.begun;
  }
}
