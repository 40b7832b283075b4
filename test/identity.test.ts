/**
 * Authentication: a request runs for the team whose valid API key it carries, a
 * withdrawal ends the requests of the withdrawn key or team and no others, and
 * no key is forwarded to an endpoint (invariants 3, 4 and 5).
 */
import test from 'ava';
import fc from 'fast-check';

import {ManualClock} from '../source/clock/index.js';
import {
  applyNote,
  difference,
  digestOf,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
} from '../source/configuration/index.js';
import {Refusal} from '../source/errors/index.js';
import {
  allowedHeaders,
  Exchange,
  ExchangeRegistry,
  RouteTable,
} from '../source/exchange/index.js';
import {
  parseBearerToken,
  Authenticator,
  isKeyExposed,
} from '../source/identity/index.js';
import {CallerAnswer} from '../source/relay/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const KEYS = ['key-one', 'key-two', 'key-three'];
const TEAMS = ['guides', 'pursers'];

function secretOf(name: string): string {
  return `secret-of-${name}`;
}

interface Faults {
  /** Withdrawals end no requests. */
  readonly ignoresWithdrawals?: boolean;
}

/** A response that only records the code of its refusal. */
class FakeResponse {
  code = '';

  onGone(): void {}

  refuse(refusal: Refusal): void {
    this.code = refusal.code;
  }
}

interface ActiveRequest {
  readonly key: string;
  readonly team: string;
  readonly answer: FakeResponse;
  readonly exchange: Exchange;
}

class World {
  private configuration: Configuration = emptyConfiguration();
  private readonly register = new ExchangeRegistry();
  private readonly validKeys = new Map<string, string>();
  private readonly withdrawnKeys = new Set<string>();
  private readonly validTeams = new Set(TEAMS);
  private activeRequests: ActiveRequest[] = [];
  private offset = 0;
  private readonly clock = new ManualClock();
  private problem = '';

  constructor(private readonly faults: Faults) {
    this.note({
      added: {
        teams: TEAMS.map(name => ({name})),
        classes: [{name: 'class', tier: 1}],
        routes: [
          {
            name: 'route',
            kind: 'service',
            path: '/x',
            pool: 'pool',
            class: 'class',
          },
        ],
      },
    });
  }

  private note(parts: object): void {
    const id = `note-${this.offset}`;
    const note = releaseNoteSchema.parse({id, ...parts});
    const before = this.configuration;
    const {configuration} = applyNote(before, note, this.offset++);
    this.configuration = configuration;
    if (!this.faults.ignoresWithdrawals) {
      this.register.endAffected(difference(before, configuration));
    }
  }

  add(name: string, team: string): void {
    this.note({
      added: {keys: [{name, team, digest: digestOf(secretOf(name))}]},
    });
    const fresh = !this.validKeys.has(name) && !this.withdrawnKeys.has(name);
    if (fresh) this.validKeys.set(name, team);
  }

  /** Moves a key to another team, which ends its requests. */
  move(name: string, team: string): void {
    const revision = this.configuration.tables.keys.get(name)?.revision ?? 1;
    const object = {name, team, digest: digestOf(secretOf(name))};
    this.note({changed: {keys: [{revision, object}]}});
    const former = this.validKeys.get(name);
    if (former === undefined) return;
    this.validKeys.set(name, team);
    if (former !== team) this.expectEnded(({key}) => key === name);
  }

  withdraw(name: string): void {
    const revision = this.configuration.tables.keys.get(name)?.revision ?? 1;
    this.note({withdrawn: {keys: [{name, revision}]}});
    if (!this.validKeys.delete(name)) return;
    this.withdrawnKeys.add(name);
    this.expectEnded(({key}) => key === name);
  }

  withdrawTeam(name: string): void {
    const revision = this.configuration.tables.teams.get(name)?.revision ?? 1;
    this.note({withdrawn: {teams: [{name, revision}]}});
    if (this.validTeams.delete(name))
      this.expectEnded(({team}) => team === name);
  }

  request(name: string): void {
    const team = this.validKeys.get(name);
    const expected =
      team !== undefined && this.validTeams.has(team) ? team : '';
    const found = this.identify(name);
    if (found !== expected)
      this.problem = `${name} stands for ${found}, not ${expected}`;
    if (found === '') return;
    const answer = new FakeResponse();
    const match = new RouteTable(this.configuration).service('POST', '/x');
    const caller = {team: found, weight: 1, key: name};
    const exchange = new Exchange(
      caller,
      match,
      answer as unknown as CallerAnswer,
      this.clock.monotonic(),
    );
    this.register.add(exchange);
    this.activeRequests.push({key: name, team: found, answer, exchange});
  }

  check(): void {
    for (const {key, answer} of this.activeRequests) {
      if (answer.code !== '') this.problem = `a request of ${key} was ended`;
    }
    if (this.problem !== '') throw new Error(this.problem);
  }

  private identify(name: string): string {
    try {
      const bearer = parseBearerToken(`Bearer ${secretOf(name)}`);
      return new Authenticator(this.configuration).authenticate(bearer).team;
    } catch (error) {
      if (error instanceof Refusal && error.outcome === 'not-run') return '';
      throw error;
    }
  }

  private expectEnded(isAffected: (found: ActiveRequest) => boolean): void {
    for (const found of this.activeRequests.filter(isAffected)) {
      const {aborted} = found.exchange.cancellation;
      if (!aborted) this.problem = `a request of ${found.key} goes on`;
      this.register.remove(found.exchange);
    }
    this.activeRequests = this.activeRequests.filter(
      found => !isAffected(found),
    );
  }
}

const command = step<World>;
const key = fc.constantFrom(...KEYS);
const team = fc.constantFrom(...TEAMS);
const request = key.map(name =>
  command(`request ${name}`, world => world.request(name)),
);
const kinds: Array<fc.Arbitrary<Step<World>>> = [
  request,
  request,
  fc
    .tuple(key, team)
    .map(([name, of]) =>
      command(`add ${name} ${of}`, world => world.add(name, of)),
    ),
  fc
    .tuple(key, team)
    .map(([name, of]) =>
      command(`move ${name} ${of}`, world => world.move(name, of)),
    ),
  key.map(name => command(`withdraw ${name}`, world => world.withdraw(name))),
  team.map(name =>
    command(`withdraw team ${name}`, world => world.withdrawTeam(name)),
  ),
];

function property(faults: Faults) {
  return fc.property(steps(kinds, 40), list => {
    fc.modelRun(() => ({model: {}, real: new World(faults)}), list);
  });
}

test('a key authenticates its team while both are valid, and its withdrawal ends its requests', t => {
  holds(t, property({}), 2_000);
});

test('the property fails if withdrawals end no requests', t => {
  isSeenToFail(t, property({ignoresWithdrawals: true}), 500);
});

const secret = fc.stringMatching(/^[\w-]{8,40}$/);
const text = fc.stringMatching(/^[ -~]{0,40}$/);

function percentEncoded(plain: string): string {
  return [...plain]
    .map(letter => `%${letter.charCodeAt(0).toString(16).padStart(2, '0')}`)
    .join('');
}

function jsonEscaped(plain: string): string {
  return [...plain]
    .map(letter => `\\u${letter.charCodeAt(0).toString(16).padStart(4, '0')}`)
    .join('');
}

const encoding = fc.constantFrom(
  (plain: string) => plain,
  percentEncoded,
  (plain: string) => `${percentEncoded(plain.slice(0, 3))}${plain.slice(3)}`,
);

test('a key is found in URL, headers and body, in plain text or escaped', t => {
  holds(
    t,
    fc.property(
      secret,
      text,
      text,
      encoding,
      fc.nat(3),
      (plain, before, after, encode, place) => {
        const clean = before.replaceAll('%', '');
        const shown = `${clean}${encode(plain)}${after.replaceAll('%', '')}`;
        const escaped = `{"content":"${jsonEscaped(plain)}"}`;
        return isKeyExposed(plain, {
          url: place === 0 ? `/x?q=${shown}` : '/x',
          headers: place === 1 ? [shown] : [],
          body: Buffer.from(place === 2 ? shown : place === 3 ? escaped : ''),
        });
      },
    ),
    3_000,
  );
});

test('no key is found in a request without it', t => {
  holds(
    t,
    fc.property(secret, text, (plain, other) => {
      fc.pre(!other.includes(plain));
      const body = Buffer.from(other.replaceAll('%', '').replaceAll('\\', ''));
      return !isKeyExposed(plain, {url: '/x', headers: ['text/plain'], body});
    }),
    2_000,
  );
});

test('the Authorization header is never forwarded, and a key in a header is found', t => {
  holds(
    t,
    fc.property(
      secret,
      fc.stringMatching(/^[a-z][a-z-]{0,20}$/),
      (plain, name) => {
        const headers = {[name]: plain, authorization: `Bearer ${plain}`};
        const allowed = allowedHeaders(headers);
        const exposed = isKeyExposed(plain, {
          url: '/',
          headers: [plain],
          body: Buffer.of(),
        });
        return exposed && allowed['authorization'] === undefined;
      },
    ),
    500,
  );
});
