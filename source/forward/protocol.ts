/**
 * What a request and an answer say, apart from how it is spelled. One subclass
 * of Protocol knows the spelling of a platform.
 */
import type {IncomingMessage} from 'node:http';

import type {NamedLoad, Prompt} from '../balance/index.js';

/** A request, as it arrived from a caller. */
export interface Arrival {
  /** Names this attempt of the caller; endpoints echo it. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly url: string;
  /** In lower case, without a port. */
  readonly host: string;
  readonly path: string;
  readonly bearer: string | undefined;
  /** Milliseconds that the caller waits, from its arrival. */
  readonly patience: number | undefined;
  readonly prompt: Prompt | undefined;
  /** The last event that the caller has of a stream that it resumes. */
  readonly lastEvent: string | undefined;
  /** Names and values in turn that pass on to an endpoint. */
  readonly headers: readonly string[];
}

/** What the router adds to a request that it sends to an endpoint. */
export interface Sending {
  /** The start of the endpoint that is meant. */
  readonly endpoint: string;
  readonly team: string | undefined;
  /** 0 is served first. */
  readonly tier: number;
  /** Milliseconds until the answer is of no use any more. */
  readonly timeLeft: number;
  readonly lastEvent: string | undefined;
}

/** The head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn that pass on to the caller. */
  readonly headers: readonly string[];
  /** The request that it answers, by the endpoint's word. */
  readonly id: string | undefined;
  /** Whether it is the endpoint's own answer to a request. */
  readonly sealed: boolean;
  /** The endpoint's word that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another endpoint has the address of the one that was meant. */
  readonly misdirected: boolean;
  /** The endpoint that answers, by its own word. */
  readonly endpoint: string | undefined;
  readonly load: NamedLoad | undefined;
}

/** How requests and answers are spelled. */
export abstract class Protocol {
  /** Reads the head of a caller's request. */
  abstract arrival(message: IncomingMessage): Arrival;
  /** The headers, names and values in turn, of a request to an endpoint. */
  abstract requestHeaders(arrival: Arrival, sending: Sending): string[];
  /** Reads the head of an endpoint's answer. */
  abstract answerHead(message: IncomingMessage): AnswerHead;
}
