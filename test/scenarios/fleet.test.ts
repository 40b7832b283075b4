/** Runs scenarios/fleet.feature over real processes. */
import {runFeature} from '../support/feature.js';

runFeature('fleet');
