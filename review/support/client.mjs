/** A sound client: sends one request and tells what came back, and when. */
import {request} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

export const KEY = 'key-of-guides';
export const HOST = 'register.example';

/**
 * Sends a request to the front address of a daemon. Resolves with the status (0
 * where the connection ended without a complete answer), the body, the headers
 * and the milliseconds until the answer had ended.
 */
export function send(
  front,
  {id, path, method = 'GET', deadline, body, headers = {}, agent = false},
) {
  const sentAt = performance.now();
  return new Promise(resolve => {
    let text = '';
    let answer;
    let isDone = false;
    const done = (status, error = '') => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const milliseconds = performance.now() - sentAt;
      const received = answer?.headers ?? {};
      const isKept = sent.reusedSocket;
      const hasHead = answer !== undefined;
      const result = {id, path, status, text, error, milliseconds, isKept};
      resolve({...result, hasHead, headers: received});
    };
    const sent = request(
      `http://${front}${path}`,
      {
        method,
        agent,
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          'x-attempt-id': id,
          'x-deadline-ms': String(deadline),
          ...headers,
        },
      },
      message => {
        answer = message;
        message.on('data', part => (text += part));
        message.on('error', error => done(0, error.message));
        message.on('close', () =>
          done(message.complete ? message.statusCode : 0, 'closed'),
        );
      },
    );
    // A client waits until its deadline and then leaves.
    const timer = setTimeout(() => {
      done(0, 'left at the deadline');
      sent.destroy();
    }, deadline + 2_000);
    sent.on('error', error => done(0, error.code ?? error.message));
    sent.end(body);
  });
}

/** The headers of a prompt to a model. */
export const PROMPT_HEADERS = {
  'x-model': 'm',
  'x-token-counts': '1460,80',
  'x-prefix-hash': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};

/** A route of the configurations of the scripts. */
export function route(name, service, fields) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    sloMs: 300,
    priority: 1,
    maxAttempts: 1,
    public: false,
    sticky: false,
    resumable: false,
    gapSloMs: 300,
    service,
    ...fields,
  };
}

/** A configuration with the routes and services of a small deployment. */
export function configuration(changes = {}) {
  return {
    routes: [
      route('draft', 'redattore', {
        kind: 'streaming',
        timeoutMs: 12_000,
        priority: 0,
        sticky: true,
      }),
      route('read', 'registro', {
        kind: 'idempotent',
        timeoutMs: 800,
        maxAttempts: 2,
        sloMs: 100,
      }),
      route('record', 'registro', {
        kind: 'non_idempotent',
        timeoutMs: 800,
        sloMs: 100,
      }),
    ],
    services: [
      {
        name: 'redattore',
        healthPath: '/health',
        maxConns: 360,
        coldS: 3,
        coldPerS: 12,
        engine: {slots: 64, kvCapacity: 349_373},
      },
      {name: 'registro', healthPath: '/health', maxConns: 96},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'guides', apiKeys: [KEY], priority: 1}],
    ...changes,
  };
}
