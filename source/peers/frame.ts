/**
 * Frames between hosts: four bytes of length, then a message in CBOR. A frame
 * that is too long or not CBOR ends its connection.
 */
import {decode, encode} from 'cbor-x';

import {ArbutusslipError} from '../errors/index.js';

const LENGTH_BYTES = 4;
const FRAME_BYTES_MOST = 4_194_304;

/** A frame that cannot be read. */
export class FrameError extends ArbutusslipError {
  constructor(readonly reason: 'too-long' | 'malformed') {
    super(reason);
  }
}

/** The frame of a value. */
export function encodeFrame(value: unknown): Buffer {
  const content = encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  content.copy(frame, LENGTH_BYTES);
  return frame;
}

/**
 * Puts frames together from pieces of any size.
 *
 * ```ts
 * const reader = new FrameReader();
 * for (const value of reader.push(bytes)) take(value);
 * ```
 */
export class FrameReader {
  private rest: Buffer = Buffer.alloc(0);

  /** The values that are now whole. Throws a FrameError. */
  push(bytes: Buffer): unknown[] {
    this.rest =
      this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
    const values: unknown[] = [];
    while (this.rest.length >= LENGTH_BYTES) {
      const length = this.rest.readUInt32BE(0);
      if (length > FRAME_BYTES_MOST) throw new FrameError('too-long');
      const end = LENGTH_BYTES + length;
      if (this.rest.length < end) break;
      values.push(decoded(this.rest.subarray(LENGTH_BYTES, end)));
      this.rest = this.rest.subarray(end);
    }
    return values;
  }
}

function decoded(content: Buffer): unknown {
  try {
    return decode(content);
  } catch {
    throw new FrameError('malformed');
  }
}
