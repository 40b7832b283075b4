/** Sources of random numbers that can be replayed from a seed. */
export {seededRandom, type RandomSource} from './random.js';
