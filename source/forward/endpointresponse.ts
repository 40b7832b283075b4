/**
 * An endpoint's response whose head has come: where its body ends, and how one
 * knows that all of it has come.
 */
import type {IncomingMessage} from 'node:http';

import {
  hasDelimitedBody,
  watchWholeness,
  type WholenessCheck,
} from '../wire/index.js';

/** An endpoint's response, whose body is still to be read. */
export interface EndpointResponse {
  readonly message: IncomingMessage;
  /**
   * Whether the head tells where the body ends. Otherwise it ends with the
   * connection, also when the endpoint crashes.
   */
  readonly isDelimited: boolean;
  /**
   * Whether the connection has carried earlier requests, so that the endpoint
   * may repeat a response to one of them.
   */
  readonly isReused: boolean;
  /** Bytes that have come on the connection since the request was sent. */
  readonly receivedBytes: () => number;
  readonly isComplete: WholenessCheck;
}

/** What is known of the connection of a response. */
export interface ResponseConnection {
  readonly isReused: boolean;
  /** Bytes that had come on it before the request. */
  readonly bytesReadBefore: number;
}

/** Returns the response of a message; call it when its head has come. */
export function responseOf(
  message: IncomingMessage,
  {isReused, bytesReadBefore}: ResponseConnection,
): EndpointResponse {
  const {socket} = message;
  const isDelimited = hasDelimitedBody(message);
  return {
    message,
    isDelimited,
    isReused,
    isComplete: watchWholeness(message),
    receivedBytes: () => socket.bytesRead - bytesReadBefore,
  };
}
