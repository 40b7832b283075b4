/**
 * What may crash endpoints: one request, which comes again to any host, or a part
 * that the prompts of many requests share.
 */
import * as z from 'zod';

import {fingerprintOf, type RequestContent} from './fingerprint.js';

export const suspectKindSchema = z.enum(['request', 'part']);
export type SuspectKind = z.infer<typeof suspectKindSchema>;

/** A request or a part. */
export interface Suspect {
  readonly kind: SuspectKind;
  /** The fingerprint of the request, or the id of the part. */
  readonly id: string;
}

/** Identifies a suspect among those of both kinds. */
export type SuspectKey = `${SuspectKind} ${string}`;

/** Returns the key of a suspect. */
export function keyOf({kind, id}: Suspect): SuspectKey {
  return `${kind} ${id}`;
}

/** Returns the suspect of a key. */
export function suspectOf(key: SuspectKey): Suspect {
  const kind = isRequest(key) ? 'request' : 'part';
  return {kind, id: key.slice(kind.length + 1)};
}

/** Whether a key is that of a request. */
export function isRequest(key: SuspectKey): boolean {
  return key.startsWith('request ');
}

/** What in one request may crash endpoints. */
export class RequestTraits {
  private knownFingerprint: string | undefined;

  constructor(
    private content: RequestContent,
    /** Ids of the parts of its prompt that other requests may share. */
    readonly parts: readonly string[],
  ) {}

  /** Name of the caller's team; empty where callers need no key. */
  get team(): string {
    return this.content.team;
  }

  /** Identifies requests that are alike; made when it is first needed. */
  get fingerprint(): string {
    this.knownFingerprint ??= fingerprintOf(this.content);
    return this.knownFingerprint;
  }

  /**
   * Lets go of the body. Call it before the body’s memory is used otherwise, and
   * only if the request may still be suspected: the digest takes time.
   */
  dropBody(): void {
    if (this.knownFingerprint !== undefined) return;
    this.knownFingerprint = fingerprintOf(this.content);
    this.content = {...this.content, body: Buffer.alloc(0)};
  }

  /** The keys of the request and of the parts, the request first. */
  get keys(): SuspectKey[] {
    const request = keyOf({kind: 'request', id: this.fingerprint});
    return [request, ...this.partKeys];
  }

  /** The keys of the parts. */
  get partKeys(): SuspectKey[] {
    return this.parts.map(id => keyOf({kind: 'part', id}));
  }
}
