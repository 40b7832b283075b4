/** Waits for services of which no endpoint is known yet. */
import type {Clock} from '../clock/index.js';

/** A wait for an endpoint of a service. */
interface Wait {
  readonly service: string;
  readonly end: (isKnown: boolean) => void;
}

/** The waits for endpoints. */
export class EndpointArrivals {
  private readonly waits = new Set<Wait>();

  /**
   * Resolves with true when `update` finds an endpoint of a service, and with
   * false after `patience` milliseconds without one.
   */
  wait(service: string, patience: number, clock: Clock): Promise<boolean> {
    return new Promise(resolve => {
      const stopTimer = clock.after(patience, () => wait.end(false));
      const wait = {
        service,
        end: (isKnown: boolean) => {
          stopTimer();
          this.waits.delete(wait);
          resolve(isKnown);
        },
      };
      this.waits.add(wait);
    });
  }

  /** Ends the waits for the services that have an endpoint now. */
  update(hasEndpoint: (service: string) => boolean): void {
    for (const wait of [...this.waits])
      if (hasEndpoint(wait.service)) wait.end(true);
  }
}
