/**
 * Failures inside the program. Each is a class of its own, so that a handler
 * tells them apart by type and never by the text of a message.
 */

/** The base of every failure that this program raises. */
export abstract class ArbutusslipError extends Error {
  override get name(): string {
    return this.constructor.name;
  }
}

/** A flag or environment variable that is wrong or unknown. */
export class SettingsError extends ArbutusslipError {
  constructor(
    readonly flag: string,
    reason: string,
  ) {
    super(`${flag}: ${reason}`);
  }
}

/** An event that the chart does not allow in the present state. */
export class ChartError extends ArbutusslipError {
  constructor(chart: string, state: string, event: string) {
    super(`chart ${chart} has no event ${event} in state ${state}`);
  }
}

/** What went wrong between this process and another one, by stage. */
export class WireError extends ArbutusslipError {
  constructor(
    readonly stage:
      | 'connect'
      | 'write'
      | 'first-byte'
      | 'between-events'
      | 'cut'
      | 'status'
      | 'malformed',
    detail: string,
    readonly status = 0,
  ) {
    super(`${stage}: ${detail}`);
  }
}
