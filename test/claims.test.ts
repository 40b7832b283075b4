/**
 * Requests with an idempotency key: each runs at most once and gets its true
 * outcome, whichever hosts receive the duplicates, and also when appends are
 * lost, late or repeated, responses to them are lost, hosts read the log late or
 * are replaced by new processes (invariants 11 and 12).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  ClaimTable,
  ClaimWriter,
  AtMostOnceExecutor,
  claimIdFor,
  parseIdempotencyKey,
  type Settlement,
} from '../source/claims/index.js';
import {ManualClock} from '../source/clock/index.js';
import {Refusal} from '../source/errors/index.js';
import {
  logRecordSchema,
  Platform,
  type HostEntry,
  type LogPage,
  type LogRecord,
} from '../source/platform/index.js';
import {parameters} from './support/fuzz.js';
import {Tape} from './support/tape.js';

const HOSTS = 3;

type RunEnd = 'ran' | 'not-run' | 'unknown';

/** A run of a request at the service, with a function that ends it. */
interface ServiceRun {
  readonly id: string;
  readonly end: (runEnd: RunEnd) => void;
}

/** An append whose response has not come. */
interface PendingAppend {
  /** Puts the records into the log. */
  readonly land: () => void;
  /** Resolves the append, or rejects it if the response is lost. */
  readonly answer: (lost: boolean) => void;
}

/** A platform that implements only the appends, which the test controls. */
class FakePlatform extends Platform {
  readonly pendingAppends: PendingAppend[] = [];

  constructor(private readonly tape: Tape) {
    super();
  }

  override append(records: readonly LogRecord[]): Promise<number> {
    return new Promise((resolve, reject) => {
      this.pendingAppends.push({
        land: () => {
          for (const record of records) this.tape.send(record);
          this.tape.landAll(0);
        },
        answer: lost => (lost ? reject(new Error('lost')) : resolve(0)),
      });
    });
  }

  override read(): Promise<LogPage> {
    return Promise.reject(new Error('not here'));
  }

  override hosts(): Promise<HostEntry[]> {
    return Promise.resolve([]);
  }

  override announce(): Promise<void> {
    return Promise.resolve();
  }

  override reportUsage(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override orderEndpoints(): Promise<boolean> {
    return Promise.resolve(false);
  }

  override endpointOrder(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

/** Faults that the test injects, to show that the property detects them. */
interface Faults {
  /** A host runs requests without waiting for its claim to be read back. */
  readonly runsBeforeReadBack?: boolean;
}

let hostCount = 0;

class ClaimingHost {
  readonly clock = new ManualClock();
  readonly table = new ClaimTable();
  readonly platform: FakePlatform;
  readonly incarnation = `incarnation-${++hostCount}`;
  readonly writer: ClaimWriter;
  readonly once: AtMostOnceExecutor;
  next = 0;

  constructor(private readonly tape: Tape) {
    const {clock, table, incarnation} = this;
    this.platform = new FakePlatform(tape);
    this.writer = new ClaimWriter({
      platform: this.platform,
      clock,
      incarnation,
      isSettled: id => {
        const claim = table.get(id);
        return (
          claim?.incarnation !== incarnation || claim.settlement !== undefined
        );
      },
      onAppendFailed: () => {},
    });
    this.once = new AtMostOnceExecutor({
      clock,
      incarnation,
      table,
      writer: this.writer,
      isLogCaughtUp: () => this.next === tape.entries.length,
    });
  }

  read(): void {
    for (const {offset, value} of this.tape.read(this.next)) {
      const record = logRecordSchema.parse(value);
      if (record.kind !== 'claims') continue;
      this.table.apply(record, offset);
      this.once.releaseAbandonedClaims(record);
      this.writer.refreshSettled();
    }
    this.next = this.tape.entries.length;
  }
}

class World {
  readonly tape = new Tape();
  hosts: ClaimingHost[] = [];
  readonly serviceRuns: ServiceRun[] = [];
  /** Number of times that each request ran at the service. */
  readonly runs = new Map<string, number>();
  readonly problems: string[] = [];
  /** Number of responses that reported a request as run. */
  answered = 0;

  constructor(private readonly faults: Faults) {
    for (let index = 0; index < HOSTS; index++) {
      this.hosts.push(new ClaimingHost(this.tape));
    }
  }

  request(index: number, key: string, body: string): void {
    const host = this.hosts[index];
    if (!host) return;
    const id = claimIdFor('team', 'route', key);
    if (this.faults.runsBeforeReadBack) {
      const {incarnation} = host;
      const claims = [{id, bodyDigest: body}];
      host.table.apply(
        {kind: 'claims', incarnation, claims, settlements: []},
        0,
      );
      host.table.removeBefore(1);
    }
    let ran = false;
    const execute = () =>
      this.startRun(id).then(settlement => {
        ran = true;
        return settlement;
      });
    const run = this.faults.runsBeforeReadBack
      ? execute()
      : host.once.run(id, body, execute);
    run.then(
      settlement => this.noteAnswer(id, settlement),
      (error: unknown) => this.noteRefusal(id, error, ran),
    );
  }

  /** Completes all appends, reads and runs that are outstanding. */
  async settle(): Promise<void> {
    for (let round = 0; round < 12; round++) {
      for (const host of this.hosts) {
        for (const append of host.platform.pendingAppends.splice(0)) {
          append.land();
          append.answer(false);
        }
        host.read();
        host.clock.advance(1_000);
      }
      for (const {end} of this.serviceRuns.splice(0)) end('ran');
      await nextTurn();
    }
  }

  check(): void {
    for (const [id, count] of this.runs) {
      if (count > 1) throw new Error(`${id} ran ${count} times`);
    }
    const [problem] = this.problems;
    if (problem !== undefined) throw new Error(problem);
  }

  private startRun(id: string): Promise<Settlement> {
    return new Promise((resolve, reject) => {
      const end = (runEnd: RunEnd) => {
        if (runEnd !== 'not-run')
          this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        if (runEnd === 'ran') {
          resolve({id, outcome: 'ran', status: 200, contentType: '', body: ''});
          return;
        }
        reject(new Refusal('outcome-unknown', runEnd, 'planted'));
      };
      this.serviceRuns.push({id, end});
    });
  }

  private noteAnswer(id: string, {outcome}: Settlement): void {
    if (outcome !== 'ran') return;
    this.answered++;
    if (!this.runs.has(id)) this.problems.push(`${id} was said to have run`);
  }

  private noteRefusal(id: string, error: unknown, ran: boolean): void {
    if (!(error instanceof Refusal)) throw error;
    if (error.outcome !== 'not-run') return;
    // A conflict is about this request's own body, which did not run, not
    // about the first request with the key.
    if (error.code === 'idempotency-conflict' && !ran) return;
    const running = this.serviceRuns.some(run => run.id === id);
    if (ran || running || this.runs.has(id)) {
      this.problems.push(`${id} was said not to have run`);
    }
  }
}

function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

type Command = fc.AsyncCommand<object, World>;

function command(text: string, run: (world: World) => void): Command {
  return {
    check: () => true,
    run: async (_, world) => {
      run(world);
      await nextTurn();
      world.check();
    },
    toString: () => text,
  };
}

const host = fc.nat(HOSTS - 1);
const nth = fc.nat(5);

function appendCommand(
  name: string,
  act: (found: PendingAppend) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(host, nth).map(([index, number]) =>
    command(`${name} ${index} ${number}`, world => {
      const list = world.hosts[index]?.platform.pendingAppends ?? [];
      const found = list[number % Math.max(list.length, 1)];
      if (found) act(found);
    }),
  );
}

function dropFirst(world: World, index: number): void {
  world.hosts[index]?.platform.pendingAppends.shift();
}

const commands = fc.commands(
  [
    fc
      .tuple(
        host,
        fc.constantFrom('one', 'two'),
        fc.constantFrom('a', 'a', 'b'),
      )
      .map(([index, key, body]) =>
        command(`request ${index} ${key} ${body}`, world =>
          world.request(index, key, body),
        ),
      ),
    appendCommand('land', found => found.land()),
    appendCommand('land-and-answer', found => {
      found.land();
      found.answer(false);
    }),
    appendCommand('lose-answer', found => found.answer(true)),
    host.map(index =>
      command(`drop ${index}`, world => dropFirst(world, index)),
    ),
    host.map(index =>
      command(`read ${index}`, world => world.hosts[index]?.read()),
    ),
    host.map(index =>
      command(`read ${index}`, world => world.hosts[index]?.read()),
    ),
    fc
      .tuple(host, fc.constantFrom(20, 500, 4_000))
      .map(([index, duration]) =>
        command(`advance ${index} ${duration}`, world =>
          world.hosts[index]?.clock.advance(duration),
        ),
      ),
    host.map(index =>
      command(`replace ${index}`, world => {
        world.hosts[index] = new ClaimingHost(world.tape);
      }),
    ),
    fc
      .tuple(nth, fc.constantFrom<RunEnd>('ran', 'not-run', 'unknown'))
      .map(([number, runEnd]) =>
        command(`end ${number} ${runEnd}`, ({serviceRuns}) => {
          const [run] = serviceRuns.splice(
            number % Math.max(serviceRuns.length, 1),
            1,
          );
          run?.end(runEnd);
        }),
      ),
  ],
  {maxCommands: 50, size: 'max'},
);

let answered = 0;

function property(faults: Faults) {
  return fc.asyncProperty(commands, async list => {
    const world = new World(faults);
    await fc.asyncModelRun(() => ({model: {}, real: world}), list);
    await world.settle();
    world.check();
    answered += world.answered;
  });
}

test('no request runs twice, and every reported outcome is true', async t => {
  const chosen = parameters(800);
  const details = await fc.check(property({}), chosen);
  t.log(`seed ${chosen.seed}, ${chosen.numRuns} runs, ${answered} answers`);
  if (details.failed) t.log(fc.defaultReportMessage(details));
  t.false(details.failed);
  t.true(answered > chosen.numRuns / 4, 'hardly any request was answered');
});

test('the property fails for a host that runs a request before its claim is read back', async t => {
  const details = await fc.check(
    property({runsBeforeReadBack: true}),
    parameters(300),
  );
  t.true(details.failed);
});

test('the same idempotency key of another team or route gives another claim id', t => {
  t.not(claimIdFor('one', 'route', 'key'), claimIdFor('two', 'route', 'key'));
  t.not(claimIdFor('one', 'route', 'key'), claimIdFor('one', 'other', 'key'));
});

test('a malformed idempotency key is refused', t => {
  t.is(parseIdempotencyKey(undefined), undefined);
  t.is(parseIdempotencyKey('a-key'), 'a-key');
  for (const bad of ['', 'two words', 'x'.repeat(256), ['a', 'b']]) {
    t.throws(() => parseIdempotencyKey(bad), {instanceOf: Refusal});
  }
});
