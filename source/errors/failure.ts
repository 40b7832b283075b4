/**
 * The error classes of the router. Each kind of failure has a class of its own,
 * so that a handler tells them apart by type and never by the error message.
 */

/** The base class of every error that the router throws. */
export abstract class ArbutusslipError extends Error {
  override get name(): string {
    return this.constructor.name;
  }
}

/** One value that is wrong, of several in the same place. */
export interface SettingsProblem {
  /** Where it stands, such as `listen.front`. */
  readonly name: string;
  readonly detail: string;
}

/**
 * A flag, environment variable or file that is unknown, missing or has a wrong
 * value. Where several values of a file are wrong, `problems` holds them all.
 */
export class SettingsError extends ArbutusslipError {
  constructor(
    readonly flag: string,
    reason: string,
    readonly problems: readonly SettingsProblem[] = [],
  ) {
    super(`${flag}: ${reason}`);
  }
}

/**
 * A port that a process cannot serve without and that waiting does not open, such
 * as one of an address that the machine does not have.
 */
export class PortError extends ArbutusslipError {
  constructor(
    /** What the port is for, such as `front`. */
    readonly role: string,
    readonly address: string,
    /** The system's code of the error, such as `EADDRNOTAVAIL`. */
    readonly code: string,
    detail: string,
  ) {
    super(`${role} port ${address}: ${detail}`);
  }
}

/** An event for which a state chart has no transition from the current state. */
export class StateChartError extends ArbutusslipError {
  constructor(chart: string, state: string, event: string) {
    super(
      `state chart ${chart} has no transition for event ${event} in state ${state}`,
    );
  }
}

/**
 * A call to another process (an endpoint, a host or the platform) that failed.
 * `stage` says how far the call got; `status` is the HTTP status of the
 * response, and 0 where none is given.
 */
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

/**
 * A connection that was not opened because this process has no file descriptor for
 * it. Says nothing of the other side.
 */
export class DescriptorShortage extends WireError {
  constructor(detail: string) {
    super('connect', detail);
  }
}

/**
 * A connection that was not accepted in time, which a busy endpoint or a cut may
 * cause as well as an end.
 */
export class ConnectTimeout extends WireError {
  constructor(detail: string) {
    super('connect', detail);
  }
}
