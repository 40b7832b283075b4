/** Bundles the daemon for the users' platform into target/. */
import {bundle} from './bundle.mjs';

await bundle({'arbutusslip-edge': 'source/edge/main.ts'}, 'target');
