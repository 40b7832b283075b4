/**
 * Keeps a caller's API key from reaching an endpoint. Only headers on an allow
 * list are forwarded, but the key may also occur in the URL or the body. Those
 * are searched for the key, and a request that has it there is refused.
 */

/** The parts of a request that are searched for the API key. */
export interface InspectedRequest {
  readonly url: string;
  /** Header and trailer names and values, without the Authorization value. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/**
 * Whether the key occurs in these parts, as it is, percent-encoded, or in the
 * body with JSON escapes.
 *
 * ```ts
 * if (isKeyExposed(key, {url, headers, body})) throw new Refusal(...);
 * ```
 */
export function isKeyExposed(
  key: string,
  inspected: InspectedRequest,
): boolean {
  return (
    textContains(inspected.url, key) ||
    inspected.headers.some(header => textContains(header, key)) ||
    bodyContains(inspected.body, key)
  );
}

function textContains(text: string, key: string): boolean {
  return text.includes(key) || percentDecode(text).includes(key);
}

/**
 * Decodes percent escapes as UTF-8; if any is malformed, decodes the others byte
 * by byte.
 */
function percentDecode(text: string): string {
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

function bodyContains(body: Uint8Array, key: string): boolean {
  const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
  if (bytes.includes(key)) return true;
  const mayBeEscaped = bytes.includes(BACKSLASH) || bytes.includes(PERCENT);
  if (!mayBeEscaped) return false;
  const text = bytes.toString('latin1');
  return (
    percentDecode(text).includes(key) || decodeJsonEscapes(text).includes(key)
  );
}

/** Decodes the JSON escapes that can stand for a character of a key. */
function decodeJsonEscapes(text: string): string {
  return text
    .replace(/\\u([0-9a-f]{4})/gi, (_, code: string) =>
      String.fromCharCode(parseInt(code, 16)),
    )
    .replaceAll('\\/', '/');
}
