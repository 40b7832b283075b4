/** Runs scenarios/endpoints.feature over real processes. */
import {runFeature} from '../support/feature.js';

runFeature('endpoints');
