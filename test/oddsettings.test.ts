/** Settings that lack values, or hold them in an odd form, and what hosts do. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import test, {type ExecutionContext} from 'ava';

import {
  EdgeFleet,
  until,
  type HostProcess,
  type HostSettings,
} from './support/edgeprocess.js';

const WAIT_MILLISECONDS = 15_000;
const PROGRAM = 'dist/arbutusslip-edge.js';

type Change = (settings: HostSettings) => object;

function without(
  values: Readonly<Record<string, unknown>>,
  name: string,
): object {
  return Object.fromEntries(
    Object.entries(values).filter(([key]) => key !== name),
  );
}

function asTexts(values: Readonly<Record<string, unknown>>): object {
  return Object.fromEntries(
    Object.entries(values).map(([key, value]) => [key, String(value)]),
  );
}

async function startHost(
  t: ExecutionContext,
  change: Change,
): Promise<{fleet: EdgeFleet; host: HostProcess}> {
  t.timeout(2 * WAIT_MILLISECONDS);
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  fleet.changeSettings = change;
  const host = await fleet.host('host-1');
  return {fleet, host};
}

/** Fails if a host does not serve, and names what it said instead. */
async function serves(
  t: ExecutionContext,
  change: Change,
): Promise<HostProcess> {
  const {fleet, host} = await startHost(t, change);
  const late = new Promise<string>(resolve => {
    setTimeout(() => resolve('late'), WAIT_MILLISECONDS).unref();
  });
  const ended = host.ended.then(code => `ended with ${code}`);
  const ready = fleet.ready(host).then(() => 'ready');
  const outcome = await Promise.race([ready, ended, late]);
  t.is(outcome, 'ready', host.errors.join(''));
  if (outcome === 'ready') t.is((await fleet.read(host, 'key'))[0], 200);
  return host;
}

/** The names in the line `settings-defaults`. */
function defaultsOf({lines}: HostProcess): string {
  const found = lines.filter(({event}) => event === 'settings-defaults');
  return found.map(({fields}) => String(fields['names'])).join('|');
}

const SERVING: Readonly<Record<string, {change: Change; names: string}>> = {
  'cloudApi is null': {
    change: settings => ({...settings, cloudApi: null}),
    names: 'cloudApi',
  },
  'cloudApi is an empty object': {
    change: settings => ({...settings, cloudApi: {}}),
    names: 'cloudApi',
  },
  'seedNodes is null': {
    change: settings => ({...settings, seedNodes: null}),
    names: 'seedNodes',
  },
  'seedNodes is an empty object': {
    change: settings => ({...settings, seedNodes: {}}),
    names: 'seedNodes',
  },
  'one of seedNodes is no address': {
    change: settings => ({...settings, seedNodes: ['nowhere']}),
    names: 'seedNodes.0',
  },
  'zones is null': {
    change: settings => ({...settings, zones: null}),
    names: 'zones',
  },
  'zones is an empty list': {
    change: settings => ({...settings, zones: []}),
    names: 'zones',
  },
  'one of bounds is absent': {
    change: settings => ({
      ...settings,
      bounds: without(settings.bounds, 'leaseMs'),
    }),
    names: 'bounds.leaseMs',
  },
  'bounds is null': {
    change: settings => ({...settings, bounds: null}),
    names:
      'bounds.graceS,bounds.retryRatio,bounds.retrySlack,' +
      'bounds.retryWindowS,bounds.usageWindowS,bounds.usageLateS,' +
      'bounds.drainMs,bounds.leaseMs',
  },
  'limits is an empty list': {
    change: settings => ({...settings, limits: []}),
    names: 'limits.memoryMb',
  },
  'ip and the control address are null': {
    change: settings => ({
      ...settings,
      ip: null,
      listen: {...settings.listen, control: null},
    }),
    names: 'listen.control',
  },
  'numbers are texts': {
    change: settings => ({
      ...settings,
      bounds: asTexts(settings.bounds),
      limits: asTexts(settings.limits),
    }),
    names: '',
  },
  'numbers have fractions, and the range of ports is an empty object': {
    change: settings => ({
      ...settings,
      portRange: {},
      limits: {memoryMb: 200.5},
      bounds: {...settings.bounds, graceS: 8.5, leaseMs: 1000.25},
    }),
    names: '',
  },
  'a bound is a word': {
    change: settings => ({
      ...settings,
      bounds: {...settings.bounds, drainMs: 'soon'},
    }),
    names: 'bounds.drainMs',
  },
};

for (const [what, {change, names}] of Object.entries(SERVING)) {
  test.serial(
    `a host serves although ${what}, and names the defaults`,
    async t => {
      const host = await serves(t, change);
      if (host.child.exitCode !== null) return;
      await Promise.race([
        until(() => names === '' || defaultsOf(host) !== ''),
        new Promise(resolve => setTimeout(resolve, WAIT_MILLISECONDS).unref()),
      ]);
      t.is(defaultsOf(host), names);
    },
  );
}

test.serial(
  'all that is wrong with a settings file is named at once',
  async t => {
    const {host} = await startHost(t, settings => ({
      ...settings,
      nodeId: null,
      listen: {...settings.listen, front: 'nowhere'},
      platform: null,
    }));
    t.is(await host.ended, 2);
    const text = host.errors.join('');
    for (const name of ['nodeId', 'listen.front', 'platform.address'])
      t.true(text.includes(`${name}: `), `${name} in ${text}`);
  },
);

test.serial(
  'a reload keeps its settings if a value has become a word',
  async t => {
    const {fleet, host} = await startHost(t, settings => settings);
    await fleet.ready(host);
    const settings = JSON.parse(
      readFileSync(host.settings, 'utf8'),
    ) as HostSettings;
    const reloads = () => host.lines.filter(({event}) => event === 'reload');
    const wrong = [
      {...settings, bounds: {...settings.bounds, retryRatio: 'much'}},
      {...settings, bounds: without(settings.bounds, 'retryRatio')},
      {...settings, bounds: null},
    ];
    for (const [index, value] of wrong.entries()) {
      writeFileSync(host.settings, JSON.stringify(value));
      host.child.kill('SIGHUP');
      await until(() => reloads().length === index + 1);
      t.is(reloads()[index]?.fields['outcome'], 'refused');
    }
    writeFileSync(host.settings, JSON.stringify({...settings, cloudApi: null}));
    host.child.kill('SIGHUP');
    await until(() => reloads().length === wrong.length + 1);
    t.is(reloads().at(-1)?.fields['outcome'], 'taken');
  },
);

function check(settings: object): {code: number | null; text: string} {
  const path = join(mkdtempSync(join(tmpdir(), 'arbutusslip-')), 'settings');
  writeFileSync(path, JSON.stringify(settings));
  const {status, stdout, stderr} = spawnSync(
    process.execPath,
    [PROGRAM, '--check'],
    {
      env: {PATH: process.env['PATH'], ARBUTUSSLIP_BOOT: path},
      timeout: WAIT_MILLISECONDS,
    },
  );
  return {code: status, text: `${stdout.toString()}${stderr.toString()}`};
}

const COMPLETE = {
  nodeId: 'host-1',
  zone: 'palermo',
  listen: {front: '127.0.0.1:8740', readiness: '127.0.0.1:8749'},
  platform: {address: '127.0.0.1:8742'},
};

test('--check prints the defaults of settings that a host can serve with', t => {
  const {code, text} = check({...COMPLETE, bounds: {graceS: 8}});
  t.is(code, 0, text);
  t.regex(text, /^default bounds\.retryRatio: /m);
  t.regex(text, /^default limits\.memoryMb: /m);
  t.notRegex(text, /graceS/);
});

test('--check prints every problem of wrong settings, and the defaults', t => {
  const {code, text} = check({...COMPLETE, zone: '', platform: {address: 7}});
  t.is(code, 2, text);
  t.regex(text, /^problem zone: /m);
  t.regex(text, /^problem platform\.address: /m);
  t.regex(text, /^default bounds\.graceS: /m);
});
