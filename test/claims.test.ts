/**
 * Requests that run at most once: whichever hosts their repeats reach, and
 * whatever is lost, late, doubled or killed (invariants 11 and 12).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  ClaimTable,
  ClaimWriter,
  Once,
  claimIdOf,
  idempotencyKeyOf,
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

type Ending = 'ran' | 'not-run' | 'unknown';

/** A request that a service has been sent. */
interface Work {
  readonly id: string;
  readonly end: (ending: Ending) => void;
}

/** An append that waits for its answer. */
interface Appending {
  readonly land: () => void;
  readonly answer: (lost: boolean) => void;
}

/** The part of the platform that claims need. */
class FakePlatform extends Platform {
  readonly appending: Appending[] = [];

  constructor(private readonly tape: Tape) {
    super();
  }

  override append(records: readonly LogRecord[]): Promise<number> {
    return new Promise((resolve, reject) => {
      this.appending.push({
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

/** What can be planted in the mechanism. */
interface Faults {
  /** A host runs a request when its append is answered, not when read back. */
  readonly believesAnswers?: boolean;
}

let hostsMade = 0;

class ClaimingHost {
  readonly clock = new ManualClock();
  readonly table = new ClaimTable();
  readonly platform: FakePlatform;
  readonly incarnation = `incarnation-${++hostsMade}`;
  readonly writer: ClaimWriter;
  readonly once: Once;
  next = 0;

  constructor(private readonly tape: Tape) {
    const {clock, table, incarnation} = this;
    this.platform = new FakePlatform(tape);
    this.writer = new ClaimWriter({
      platform: this.platform,
      clock,
      incarnation,
      isSettled: id => {
        const standing = table.get(id);
        return (
          standing?.incarnation !== incarnation ||
          standing.settlement !== undefined
        );
      },
      failed: () => {},
    });
    this.once = new Once({
      clock,
      incarnation,
      table,
      writer: this.writer,
      logInReach: () => this.next === tape.entries.length,
    });
  }

  read(): void {
    for (const {offset, value} of this.tape.read(this.next)) {
      const record = logRecordSchema.parse(value);
      if (record.kind !== 'claims') continue;
      this.table.apply(record, offset);
      this.once.noteRecord(record);
      this.writer.noteRead();
    }
    this.next = this.tape.entries.length;
  }
}

class World {
  readonly tape = new Tape();
  hosts: ClaimingHost[] = [];
  readonly works: Work[] = [];
  /** How often each request ran at the service. */
  readonly runs = new Map<string, number>();
  readonly problems: string[] = [];
  /** Requests for which a caller was told that they ran. */
  answered = 0;

  constructor(private readonly faults: Faults) {
    for (let index = 0; index < HOSTS; index++) {
      this.hosts.push(new ClaimingHost(this.tape));
    }
  }

  request(index: number, key: string, body: string): void {
    const host = this.hosts[index];
    if (!host) return;
    const id = claimIdOf('team', 'route', key);
    if (this.faults.believesAnswers) {
      const {incarnation} = host;
      const claims = [{id, bodyDigest: body}];
      host.table.apply(
        {kind: 'claims', incarnation, claims, settlements: []},
        0,
      );
      host.table.forgetBefore(1);
    }
    let ran = false;
    const work = () =>
      this.work(id).then(settlement => {
        ran = true;
        return settlement;
      });
    const run = this.faults.believesAnswers
      ? work()
      : host.once.run(id, body, work);
    run.then(
      settlement => this.noteAnswer(id, settlement),
      (error: unknown) => this.noteRefusal(id, error, ran),
    );
  }

  async settle(): Promise<void> {
    for (let round = 0; round < 12; round++) {
      for (const host of this.hosts) {
        for (const appending of host.platform.appending.splice(0)) {
          appending.land();
          appending.answer(false);
        }
        host.read();
        host.clock.advance(1_000);
      }
      for (const {end} of this.works.splice(0)) end('ran');
      await turn();
    }
  }

  check(): void {
    for (const [id, count] of this.runs) {
      if (count > 1) throw new Error(`${id} ran ${count} times`);
    }
    const [problem] = this.problems;
    if (problem !== undefined) throw new Error(problem);
  }

  private work(id: string): Promise<Settlement> {
    return new Promise((resolve, reject) => {
      const end = (ending: Ending) => {
        if (ending !== 'not-run')
          this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
        if (ending === 'ran') {
          resolve({id, outcome: 'ran', status: 200, contentType: '', body: ''});
          return;
        }
        reject(new Refusal('outcome-unknown', ending, 'planted'));
      };
      this.works.push({id, end});
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
    // A conflict speaks of a request with another body, which did not run.
    if (error.code === 'idempotency-conflict' && !ran) return;
    const running = this.works.some(work => work.id === id);
    if (ran || running || this.runs.has(id)) {
      this.problems.push(`${id} was said not to have run`);
    }
  }
}

function turn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

type Command = fc.AsyncCommand<object, World>;

function command(text: string, run: (world: World) => void): Command {
  return {
    check: () => true,
    run: async (_, world) => {
      run(world);
      await turn();
      world.check();
    },
    toString: () => text,
  };
}

const host = fc.nat(HOSTS - 1);
const nth = fc.nat(5);

function appending(
  name: string,
  act: (found: Appending) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(host, nth).map(([index, number]) =>
    command(`${name} ${index} ${number}`, world => {
      const list = world.hosts[index]?.platform.appending ?? [];
      const found = list[number % Math.max(list.length, 1)];
      if (found) act(found);
    }),
  );
}

function dropFirst(world: World, index: number): void {
  world.hosts[index]?.platform.appending.shift();
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
    appending('land', found => found.land()),
    appending('land-and-answer', found => {
      found.land();
      found.answer(false);
    }),
    appending('lose-answer', found => found.answer(true)),
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
      .tuple(nth, fc.constantFrom<Ending>('ran', 'not-run', 'unknown'))
      .map(([number, ending]) =>
        command(`end ${number} ${ending}`, ({works}) => {
          const [work] = works.splice(number % Math.max(works.length, 1), 1);
          work?.end(ending);
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

test('no request runs twice, and nobody is told a lie', async t => {
  const chosen = parameters(800);
  const details = await fc.check(property({}), chosen);
  t.log(`seed ${chosen.seed}, ${chosen.numRuns} runs, ${answered} answers`);
  if (details.failed) t.log(fc.defaultReportMessage(details));
  t.false(details.failed);
  t.true(answered > chosen.numRuns / 4, 'hardly any request was answered');
});

test('the check notices a host that runs without reading its claim', async t => {
  const details = await fc.check(
    property({believesAnswers: true}),
    parameters(300),
  );
  t.true(details.failed);
});

test('the same key of another team or route is another request', t => {
  t.not(claimIdOf('one', 'route', 'key'), claimIdOf('two', 'route', 'key'));
  t.not(claimIdOf('one', 'route', 'key'), claimIdOf('one', 'other', 'key'));
});

test('a bad idempotency key is refused', t => {
  t.is(idempotencyKeyOf(undefined), undefined);
  t.is(idempotencyKeyOf('a-key'), 'a-key');
  for (const bad of ['', 'two words', 'x'.repeat(256), ['a', 'b']]) {
    t.throws(() => idempotencyKeyOf(bad), {instanceOf: Refusal});
  }
});
