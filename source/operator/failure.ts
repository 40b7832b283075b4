/** A failure that an operator is told about. */
import {ArbutusslipError} from '../errors/index.js';

/** What an operator asked for cannot be done. */
export class OperatorError extends ArbutusslipError {
  constructor(
    readonly reason:
      | 'rejected'
      | 'missing'
      | 'unreadable'
      | 'malformed'
      | 'not-in-force'
      | 'log-out-of-reach'
      | 'undecided',
    detail: string,
  ) {
    super(detail);
  }
}
