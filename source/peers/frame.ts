/**
 * Frames between hosts: four bytes of length, then a message in CBOR. A frame
 * that is too long or not CBOR ends its connection.
 */
import {decode, encode} from 'cbor-x';

import {ArbutusslipError} from '../errors/index.js';
import {ByteCollector} from '../wire/index.js';

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
  /** The begin of a frame that is not whole. */
  private readonly incomplete = new ByteCollector();
  /** Bytes that the incomplete frame needs before it can be read on. */
  private needed = LENGTH_BYTES;

  /** The values that are now whole. Throws a FrameError. */
  push(bytes: Buffer): unknown[] {
    this.incomplete.push(bytes);
    if (this.incomplete.length < this.needed) return [];
    const values: unknown[] = [];
    let rest = this.incomplete.take();
    for (;;) {
      this.needed = frameLength(rest);
      if (rest.length < this.needed) break;
      values.push(decoded(rest.subarray(LENGTH_BYTES, this.needed)));
      rest = rest.subarray(this.needed);
    }
    this.incomplete.push(rest);
    return values;
  }
}

/** Bytes of the frame that begins here, or of its length if that is not whole. */
function frameLength(bytes: Buffer): number {
  if (bytes.length < LENGTH_BYTES) return LENGTH_BYTES;
  const length = bytes.readUInt32BE(0);
  if (length > FRAME_BYTES_MOST) throw new FrameError('too-long');
  return LENGTH_BYTES + length;
}

function decoded(content: Buffer): unknown {
  try {
    return decode(content);
  } catch {
    throw new FrameError('malformed');
  }
}
