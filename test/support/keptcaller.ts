/** A caller that keeps one connection to a host and sees how each request ends. */
import {Agent, request, type IncomingMessage} from 'node:http';

/** A request of a caller. */
export interface KeptRequest {
  /** Path, whose first part names the route. */
  readonly path: string;
  readonly method?: string;
  /** Parts of the body, each sent the given milliseconds after the last. */
  readonly body?: readonly string[];
  readonly bodyDelay?: number;
  /** Milliseconds for which the caller says that it waits. */
  readonly deadline?: number;
  /** Headers beside the usual ones. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** How a request ended. */
export interface KeptAnswer {
  /** Id of the request, which the endpoint gets too. */
  readonly id: string;
  /** 0 where the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  /** Whether all of the answer has come. */
  readonly whole: boolean;
  /** Whether it was sent on a connection that had carried another one. */
  readonly reused: boolean;
}

const DEADLINE_MILLISECONDS = 6_000;
const KEY = 'key';

let attempts = 0;

/** One caller with one connection at a time. */
export class KeptCaller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(private readonly address: string) {}

  /** Asks on the kept connection; never throws. */
  ask(spec: KeptRequest): Promise<KeptAnswer> {
    const {path, method, body, headers} = spec;
    const {deadline = DEADLINE_MILLISECONDS} = spec;
    const id = `kept-${attempts++}`;
    return new Promise(resolve => {
      const sent = request(
        `http://${this.address}${path}`,
        {
          agent: this.agent,
          method: method ?? (body ? 'POST' : 'GET'),
          headers: {
            host: 'register.example',
            authorization: `Bearer ${KEY}`,
            'x-attempt-id': id,
            'x-deadline-ms': String(deadline),
            ...headers,
          },
        },
        message => void readAnswer(message).then(end),
      );
      const end = (answer: Omit<KeptAnswer, 'id' | 'reused'>) =>
        resolve({...answer, id, reused: sent.reusedSocket});
      sent.on('error', () => end({status: 0, body: '', whole: false}));
      void sendBody(body ?? [], spec.bodyDelay ?? 0, part =>
        sent.write(part),
      ).then(() => sent.end());
    });
  }

  /** Closes the connection. */
  stop(): void {
    this.agent.destroy();
  }
}

async function sendBody(
  parts: readonly string[],
  delay: number,
  write: (part: string) => void,
): Promise<void> {
  for (const part of parts) {
    write(part);
    await new Promise(resolve => setTimeout(resolve, delay));
  }
}

function readAnswer(
  message: IncomingMessage,
): Promise<Omit<KeptAnswer, 'id' | 'reused'>> {
  const parts: Buffer[] = [];
  return new Promise(resolve => {
    message.on('data', (part: Buffer) => parts.push(part));
    message.on('error', () => {});
    message.on('close', () =>
      resolve({
        status: message.statusCode ?? 0,
        body: Buffer.concat(parts).toString(),
        whole: message.complete,
      }),
    );
  });
}
