/** A deployment with one host, for tests of requests on kept connections. */
import type {ExecutionContext} from 'ava';
import PQueue from 'p-queue';

import {
  EdgeFleet,
  sealed,
  type EndpointAnswer,
  type HostProcess,
} from './edgeprocess.js';
import {KeptCaller, type KeptAnswer} from './keptcaller.js';

/** Milliseconds after SIGTERM by which a host accepts no new connections. */
export const CLOSED_MILLISECONDS = 2_900;

/** Deployments of one test file that run at once. */
const places = new PQueue({concurrency: 3});

/** Resolves after so many milliseconds. */
export const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/** Answers after the milliseconds in the query. */
export const answerAfterWait: EndpointAnswer = (message, response) => {
  const {searchParams} = new URL(message.url ?? '', 'http://endpoint');
  setTimeout(
    () => {
      response.writeHead(200, sealed(message));
      response.end('answer');
    },
    Number(searchParams.get('wait') ?? 0),
  );
};

/** One host with one endpoint, and callers of it. */
export interface Scene {
  readonly fleet: EdgeFleet;
  readonly host: HostProcess;
  /** Requests that the endpoint got. */
  readonly passedOn: () => number;
  /** Checks that of some requests each that the endpoint got was answered. */
  readonly noneIsLost: (answers: readonly KeptAnswer[]) => void;
  /** A caller that has already been answered on its connection. */
  readonly caller: () => Promise<KeptCaller>;
  /**
   * So many of them. They are answered one after another, since a host refuses
   * what would wait too long for the slots of the one endpoint.
   */
  readonly callers: (count: number) => Promise<KeptCaller[]>;
}

/** Resolves when the test may start its deployment. */
export function takePlace(t: ExecutionContext): Promise<void> {
  return new Promise(resolve => {
    void places.add(async () => {
      await new Promise<void>(release => {
        t.teardown(release);
        resolve();
      });
    });
  });
}

/** Starts a host when its test may start its deployment. */
export async function start(
  t: ExecutionContext,
  answer: EndpointAnswer = answerAfterWait,
  prepare: (fleet: EdgeFleet) => void = () => {},
): Promise<Scene> {
  await takePlace(t);
  const fleet = await EdgeFleet.start(t);
  fleet.routeTimeoutMilliseconds = 6_000;
  prepare(fleet);
  const ids = new Set<unknown>();
  await fleet.endpoint('register-1', (message, response) => {
    ids.add(message.headers['x-attempt-id']);
    answer(message, response);
  });
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  const passedOn = () => fleet.seen.get('register-1') ?? 0;
  const caller = async () => {
    const kept = new KeptCaller(host.callers);
    t.teardown(() => kept.stop());
    t.is((await kept.ask({path: '/read/1'})).status, 200);
    return kept;
  };
  const callers = async (count: number) => {
    const kept: KeptCaller[] = [];
    while (kept.length < count) kept.push(await caller());
    return kept;
  };
  const noneIsLost = (answers: readonly KeptAnswer[]) => {
    const lost = answers.filter(({id, whole}) => !whole && ids.has(id));
    t.deepEqual(lost, []);
  };
  return {fleet, host, passedOn, noneIsLost, caller, callers};
}

/** Checks that a request was answered on a connection of an earlier one. */
export function isAnswered(t: ExecutionContext, answer: KeptAnswer): void {
  t.is(answer.status, 200);
  t.true(answer.whole);
  t.true(answer.reused);
}
