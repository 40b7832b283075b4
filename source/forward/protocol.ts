/**
 * The content of requests and responses, independent of their wire format. Each
 * platform implements Protocol for its own headers, so that the forwarder knows
 * no header names.
 */
import type {IncomingMessage} from 'node:http';

import type {ReportedLoad, Prompt} from '../balance/index.js';

/** A caller's request as it arrived, without its body. */
export interface CallerRequest {
  /** Identifies this attempt of the caller; endpoints echo it. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly url: string;
  /** In lower case, without a port. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** The bearer token, which is the caller's API key. */
  readonly bearer: string | undefined;
  /** Milliseconds that the caller waits for the response, from its arrival. */
  readonly callerTimeout: number | undefined;
  /** Absent for requests that are not prompts to a model. */
  readonly prompt: Prompt | undefined;
  /** Id of the last event that the caller has of a stream that it resumes. */
  readonly lastEvent: string | undefined;
  /**
   * Id of the attempt that brought the first event of a stream that the caller
   * resumes, where it names it.
   */
  readonly resumes: string | undefined;
  /**
   * Whether the caller asks for a version of the weights, so that an endpoint with
   * another one refuses the request as if it were misdirected.
   */
  readonly expectsWeights: boolean;
  /** Alternating names and values to forward to an endpoint. */
  readonly headers: readonly string[];
}

/** What the router adds to a request that it forwards to an endpoint. */
export interface ForwardingInfo {
  /** Id of the endpoint instance that the request is meant for. */
  readonly endpoint: string;
  /** Name of the caller's team. */
  readonly team: string | undefined;
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  /** Milliseconds after which a response is of no use any more. */
  readonly timeLeft: number;
  /** Id of the last event that the caller has, where a stream is resumed. */
  readonly lastEvent: string | undefined;
}

/** The status and headers of an endpoint's response. */
export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values to pass on to the caller. */
  readonly headers: readonly string[];
  /** Undefined where the response states none. */
  readonly contentType: string | undefined;
  /** Id of the request that the endpoint says it responds to. */
  readonly id: string | undefined;
  /** Whether it has the seal of an endpoint's own response to a request. */
  readonly sealed: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another endpoint now has the address of the intended one. */
  readonly misdirected: boolean;
  /** Id of the endpoint that responds, as it states itself. */
  readonly endpoint: string | undefined;
  /** The endpoint's load, where it states it. */
  readonly load: ReportedLoad | undefined;
  /** The text of the load, where it is not one that an endpoint may state. */
  readonly invalidLoad: string | undefined;
  /** Whether the endpoint says that it leaves. */
  readonly leaving: boolean;
  /**
   * Set where the endpoint turns the request away and wants nothing of this host
   * for a while.
   */
  readonly backoff: StatedBackoff | undefined;
  /** The limit on requests that the endpoint names; undefined for none. */
  readonly limit: StatedLimit | undefined;
}

/** For how long an endpoint wants nothing of this host. */
export interface StatedBackoff {
  /** Undefined where the text is no such time. */
  readonly milliseconds: number | undefined;
  readonly text: string;
}

/** The limit that a response names. */
export interface StatedLimit {
  /**
   * Requests a second from all hosts together; undefined where the text is no
   * such number.
   */
  readonly rate: number | undefined;
  /** The text, where it is not one number that a host can keep to. */
  readonly invalidText: string | undefined;
}

/** Converts requests and responses from and to a platform's wire format. */
export abstract class Protocol {
  /** Path of what an endpoint reports of itself. */
  abstract readonly reportPath: string;
  /** Parses the head of a caller's request. */
  abstract parseRequest(message: IncomingMessage): CallerRequest;
  /** Returns the headers for an endpoint, alternating names and values. */
  abstract requestHeaders(
    request: CallerRequest,
    forwarding: ForwardingInfo,
  ): string[];
  /** Parses the head of an endpoint's response. */
  abstract parseResponseHead(message: IncomingMessage): ResponseHead;
  /**
   * Returns the Unix milliseconds of the start that an endpoint reports; undefined
   * where it reports none.
   */
  abstract parseReportedStart(body: Buffer): number | undefined;
}
