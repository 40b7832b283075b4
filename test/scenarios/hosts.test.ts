/** Runs scenarios/hosts.feature over real processes. */
import {runFeature} from '../support/feature.js';

runFeature('hosts');
