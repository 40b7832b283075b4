/** Bundles the programs into dist/, so that they load little and start fast. */
import {bundle} from './bundle.mjs';

const programs = {
  arbutusslipd: 'source/daemon/main.ts',
  arbutusslip: 'source/command/main.ts',
  'arbutusslip-edge': 'source/edge/main.ts',
  quickstart: 'tools/quickstart.ts',
  control: 'tools/control.ts',
  measure: 'tools/measure.ts',
  document: 'tools/document.ts',
  cost: 'tools/cost.ts',
  soak: 'soak/main.ts',
  starts: 'tools/starts.ts',
  edgecost: 'tools/edgecost.ts',
  decisioncost: 'tools/decisioncost.ts',
  memorycost: 'tools/memorycost.ts',
  piececost: 'tools/piececost.ts',
  'standin-fast': 'standins/fast.ts',
  'standin-platform': 'standins/platform.ts',
  'standin-engine': 'standins/engine.ts',
  'standin-service': 'standins/service.ts',
};

await bundle(programs, 'dist');
