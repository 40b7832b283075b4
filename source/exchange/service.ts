/**
 * Requests to plain services. One that may not be repeated is sent once, on a
 * new connection; when no answer comes, the caller is told that its outcome is
 * unknown.
 */
import type {Answer, Order} from '../engine/index.js';
import {
  asFailure,
  cancelAttempt,
  isFailure,
  noteAnswer,
  statusFailure,
  wholeBody,
} from './answer.js';
import type {Exchange} from './exchange.js';
import {orderOf, type OrderBase} from './order.js';
import type {Plane} from './plane.js';
import {runAttempts} from './run.js';

/** A service’s whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const SERVICE_TOKENS = 1;

/**
 * Runs a request to a plain service. Throws the Refusal that ends it.
 *
 * ```ts
 * const {status, headers, body} = await runService(exchange, plane, base);
 * ```
 */
export async function runService(
  exchange: Exchange,
  plane: Plane,
  base: OrderBase,
): Promise<ServiceAnswer> {
  let result: ServiceAnswer | undefined;
  const expectation = {tokens: SERVICE_TOKENS, prefix: ''};
  await runAttempts(exchange, plane, expectation, async (slot, signal) => {
    const order = orderOf(exchange, base);
    const began = plane.clock.monotonic();
    try {
      const answer = await plane.adapter.send(slot.endpoint, order, signal);
      noteAnswer(plane, slot, answer, plane.clock.monotonic() - began);
      throwIfFailed(answer, order, exchange);
      const body = await wholeBody(plane, answer, signal);
      result = {status: answer.status, headers: answer.headers, body};
    } catch (error) {
      if (signal.aborted) cancelAttempt(plane, slot, order);
      throw asFailure(error);
    }
    return SERVICE_TOKENS;
  });
  noteService(exchange, plane);
  return result as ServiceAnswer;
}

/**
 * A failing status is retried where the route allows or where the service says
 * that it did not run the request; otherwise it is the caller's answer.
 */
function throwIfFailed(answer: Answer, order: Order, {match}: Exchange): void {
  if (!isFailure(answer)) return;
  if (match.route.repeatable || answer.notRun) throw statusFailure(answer);
}

function noteService({match, arrived}: Exchange, plane: Plane): void {
  const duration = plane.clock.monotonic() - arrived;
  const tags = {class: match.class.name};
  plane.metrics.time('whole-answer', duration, tags);
  const met = duration <= match.class.firstTokenTarget;
  plane.metrics.count('attainment', {...tags, met: String(met)});
}
