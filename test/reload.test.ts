/** Which changed settings take effect at SIGHUP, so that none is dropped unnoticed. */
import test from 'ava';

import {
  DEFAULT_EDGE_SETTINGS,
  edgeSettingsSchema,
  type EdgeSettings,
} from '../source/edge/index.js';
import {planReload, type SettingName} from '../source/edge/reload.js';

const SETTINGS: EdgeSettings = {
  ...DEFAULT_EDGE_SETTINGS,
  name: 'host-1',
  zone: 'palermo',
  regions: {},
  callers: '10.0.0.1:1',
  readiness: '10.0.0.1:2',
  seeds: ['10.0.0.2:3'],
};

test('each field of the settings is applied at a reload, or is named as one that needs a restart', t => {
  const names = Object.keys(edgeSettingsSchema.shape) as SettingName[];
  for (const name of names) {
    const changed = {...SETTINGS, [name]: ['changed']};
    const {applied, deferred} = planReload(SETTINGS, changed as EdgeSettings);
    t.deepEqual([...applied, ...deferred], [name], name);
  }
  const seeds = ['10.0.0.9:3'];
  const plan = planReload(SETTINGS, {...SETTINGS, seeds, zone: 'catania'});
  t.deepEqual(plan.applied, ['seeds']);
  t.deepEqual(plan.settings, {...SETTINGS, seeds});
});
