/** Runs scenarios/keys.feature over real processes. */
import {runFeature} from '../support/feature.js';

runFeature('keys');
