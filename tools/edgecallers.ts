/**
 * The callers of one host in the measurement of its cost: the kinds of requests
 * that they send, and how many of these were answered.
 */
import {request} from 'node:http';

/** The service of the engines. */
export const MODEL = 'redattore';
/** The service whose endpoints run no model. */
export const PLAIN = 'registro';
/** The key of all callers, and their team. */
export const KEY = 'key';
export const TEAM = 'guides';
/** Subjects of the callers' prompts. */
export const SUBJECTS = 2_156;

/** One kind of request. */
export interface Kind {
  readonly name: string;
  readonly service: string;
  /** Part of all requests. */
  readonly share: number;
  /** Bytes of the request's body. */
  readonly body: number;
  /** Events of the response; 0 for a response that is no stream. */
  readonly events: number;
  /** Tokens of the prompt, and of each part of it that prompts share. */
  readonly tokens: number;
  readonly shared: readonly number[];
}

/** The kinds of requests, as the callers of a large platform send them. */
export const KINDS: readonly Kind[] = [
  {
    name: 'draft',
    service: MODEL,
    share: 0.484,
    body: 9_200,
    events: 5,
    tokens: 9_190,
    shared: [2_520, 3_780],
  },
  {
    name: 'suggest',
    service: MODEL,
    share: 0.286,
    body: 830,
    events: 29,
    tokens: 826,
    shared: [119, 79],
  },
  {
    name: 'record',
    service: PLAIN,
    share: 0.164,
    body: 600,
    events: 0,
    tokens: 0,
    shared: [],
  },
  {
    name: 'read',
    service: PLAIN,
    share: 0.066,
    body: 0,
    events: 0,
    tokens: 0,
    shared: [],
  },
];

/** The id of the shared part of a prompt: one of a few, or that of its subject. */
export function partOf(subject: number, level: number): string {
  const name = level === 0 ? subject % 4 : subject;
  return `${level}${name.toString(16).padStart(15, '0')}`;
}

/** The callers of the host at an address. */
export class EdgeCallers {
  /** Requests with a response of status 200 so far, and those without. */
  answered = 0;
  failed = 0;

  constructor(private readonly address: string) {}

  /** Sends a request of any kind. */
  ask(): void {
    let point = Math.random();
    const kind = KINDS.find(({share}) => (point -= share) < 0) ?? KINDS[0];
    if (!kind) return;
    const subject = Math.floor(Math.random() * SUBJECTS);
    const own = `f${Math.random().toString(16).slice(2)}`;
    const parts = kind.shared.map((tokens, level) => [
      partOf(subject, level),
      tokens,
    ]);
    const rest = kind.tokens - kind.shared.reduce((sum, one) => sum + one, 0);
    const prompt = {
      'x-model': 'm',
      'x-token-counts': `${kind.tokens},${kind.events * 10}`,
      'x-length-hint': String(kind.events),
      'x-prefix-hash': [...parts, [own, rest]]
        .map(([id, tokens]) => `${id}:${tokens}`)
        .join(','),
    };
    const sent = request(
      `http://${this.address}/${kind.name}/1`,
      {
        method: kind.body > 0 ? 'POST' : 'GET',
        headers: {
          host: 'phrases.example',
          authorization: `Bearer ${KEY}`,
          'x-attempt-id': own,
          'x-deadline-ms': '4000',
          ...(kind.events > 0 ? prompt : {}),
        },
      },
      message => {
        message.resume();
        message.on('end', () =>
          message.statusCode === 200 ? this.answered++ : this.failed++,
        );
        message.on('error', () => this.failed++);
      },
    );
    sent.on('error', () => this.failed++);
    sent.end('x'.repeat(kind.body));
  }
}
