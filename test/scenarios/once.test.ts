/** Runs scenarios/once.feature over real processes. */
import {runFeature} from '../support/feature.js';

runFeature('once');
