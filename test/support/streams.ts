/** Streams whose events name the endpoint that wrote them, and a caller of them. */
import {request, type IncomingMessage} from 'node:http';

import {sealed, type EndpointAnswer, type HostProcess} from './edgeprocess.js';

/** Events of a whole stream. */
export const EVENTS = 4;
/** The event after which the caller's connection breaks. */
export const BROKEN_AFTER = 2;
const PAUSE_MILLISECONDS = 30;

/** Streams events whose data name the endpoint, after the last that is known. */
export function streamOf(id: string): EndpointAnswer {
  return (message, response) => {
    response.writeHead(200, sealed(message));
    let event = Number(message.headers['last-event-id'] ?? 0);
    const next = () => {
      if (response.destroyed) return;
      if (++event > EVENTS) return void response.end();
      response.write(`id: ${event}\ndata: ${id}\n\n`);
      setTimeout(next, PAUSE_MILLISECONDS);
    };
    next();
  };
}

/** Reads a stream; leaves after so many events. Returns the endpoints' names. */
export function readStream(
  host: HostProcess,
  headers: Readonly<Record<string, string>>,
  events: number,
): Promise<string[]> {
  return new Promise(resolve => {
    const sent = request(
      `http://${host.callers}/draft/1`,
      {
        agent: false,
        method: 'POST',
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-deadline-ms': '4000',
          ...headers,
        },
      },
      (message: IncomingMessage) => {
        let text = '';
        const names = () => [...text.matchAll(/data: (\S+)\n\n/g)];
        message.on('data', (part: Buffer) => {
          text += part.toString();
          if (names().length >= events) sent.destroy();
        });
        message.on('error', () => {});
        message.on('close', () =>
          resolve(names().map(([, name = '']) => name)),
        );
      },
    );
    sent.on('error', () => resolve([]));
    sent.end();
  });
}
