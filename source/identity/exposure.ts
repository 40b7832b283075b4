/**
 * No endpoint may see a caller's key. Headers to endpoints come from an
 * allow-list, but the key may also stand in the address or the body that are
 * passed on, so those are searched for its bytes and the request is refused.
 */

/** The parts of a request that are passed on to an endpoint. */
export interface Inspected {
  readonly url: string;
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * Whether the key stands anywhere but in the Authorization header.
 *
 * ```ts
 * if (keyExposed(key, {url, headers, body})) throw new Refusal(...);
 * ```
 */
export function keyExposed(key: string, inspected: Inspected): boolean {
  return (
    holds(inspected.url, key) ||
    inspected.headers.some(header => holds(header, key)) ||
    bodyHolds(inspected.body, key)
  );
}

function holds(text: string, key: string): boolean {
  return text.includes(key) || unescaped(text).includes(key);
}

function unescaped(text: string): string {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return text.replace(/%([0-9a-f]{2})/gi, (_, code: string) =>
      String.fromCharCode(parseInt(code, 16)),
    );
  }
}

const BACKSLASH = 0x5c;
const PERCENT = 0x25;

function bodyHolds(body: Uint8Array, key: string): boolean {
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
  if (bytes.includes(key)) return true;
  const escaped = bytes.includes(BACKSLASH) || bytes.includes(PERCENT);
  if (!escaped) return false;
  const text = bytes.toString('latin1');
  return (
    unescaped(text).includes(key) || withoutJsonEscapes(text).includes(key)
  );
}

function withoutJsonEscapes(text: string): string {
  return text
    .replace(/\\u([0-9a-f]{4})/gi, (_, code: string) =>
      String.fromCharCode(parseInt(code, 16)),
    )
    .replaceAll('\\/', '/');
}
