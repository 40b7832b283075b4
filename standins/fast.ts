/**
 * An endpoint that costs as little as it can, and a pass-through that does no
 * more than pass on: what the router's own cost is measured against.
 */
import {Agent, request} from 'node:http';

import * as z from 'zod';

import {readSettings} from '../source/settings/index.js';
import {partsOf} from '../source/wire/index.js';
import {reply, serve, type Received} from './server.js';

const settingsSchema = z.strictObject({
  listen: z.string(),
  /** Where to pass on to; without it this is the endpoint. */
  target: z.string().optional(),
  events: z.coerce.number().default(200),
  /** Milliseconds between events; zero for as fast as they are read. */
  interval: z.coerce.number().default(0),
});

const settings = readSettings(
  process.argv.slice(2),
  process.env,
  settingsSchema,
);
const agent = new Agent({keepAlive: true});
const ANSWER = {
  id: 'x',
  object: 'chat.completion',
  created: 0,
  model: 'm',
  choices: [{index: 0, message: {role: 'assistant', content: 'ciao'}}],
  usage: {prompt_tokens: 1, completion_tokens: 1, total_tokens: 2},
};
const CHUNK = JSON.stringify({
  id: 'x',
  object: 'chat.completion.chunk',
  created: 0,
  model: 'm',
  choices: [{index: 0, delta: {content: 'traghetto '}, finish_reason: null}],
});

function passOn({message, response, body}: Received): void {
  const outgoing = request(
    {
      ...partsOf(settings.target ?? ''),
      agent,
      method: message.method,
      path: message.url,
      headers: message.headers,
    },
    answer => {
      response.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(response);
    },
  );
  outgoing.on('error', () => response.destroy());
  outgoing.end(body);
}

function stream({message, response}: Received): void {
  const attempt = String(message.headers['x-attempt'] ?? 'none');
  response.writeHead(200, {'content-type': 'text/event-stream'});
  let sequence = 0;
  const next = (): boolean => {
    sequence++;
    const data = sequence > settings.events ? '[DONE]' : CHUNK;
    const room = response.write(
      `id: ${attempt}:${sequence}\ndata: ${data}\n\n`,
    );
    if (sequence > settings.events) response.end();
    return room;
  };
  if (settings.interval > 0) {
    const timer = setInterval(() => {
      next();
      if (response.writableEnded) clearInterval(timer);
    }, settings.interval);
    response.on('close', () => clearInterval(timer));
    return;
  }
  const run = () => {
    while (!response.writableEnded) {
      if (!next() && !response.writableEnded) {
        response.once('drain', run);
        return;
      }
    }
  };
  run();
}

function handle(received: Received): void {
  const {path, body, response} = received;
  if (settings.target !== undefined) return passOn(received);
  if (path === '/load') {
    return reply(response, 200, {
      state: 'warm',
      running: 0,
      queued: 0,
      slots: 4096,
    });
  }
  if (body.includes('"stream":true')) return stream(received);
  reply(response, 200, ANSWER);
}

await serve(settings.listen, handle);
process.stdout.write('ready\n');
