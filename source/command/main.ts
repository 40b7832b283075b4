#!/usr/bin/env node
/** arbutusslip, the operators' tool. */
import {defineCommand, runMain} from 'citty';

import {explainCommand} from './explain.js';
import {keyCommand} from './key.js';
import {releaseCommand} from './release.js';
import {statusCommand} from './status.js';
import {zoneCommand} from './zone.js';

const tool = defineCommand({
  meta: {name: 'arbutusslip', description: 'Operates a fleet of arbutusslip.'},
  subCommands: {
    release: releaseCommand,
    key: keyCommand,
    zone: zoneCommand,
    status: statusCommand,
    explain: explainCommand,
  },
});

await runMain(tool);
