/** Measures placement decisions: their rate, cost and quality. */
import {setFlagsFromString} from 'node:v8';
import type {Figures} from './benches.js';
import {comparePolicies} from './policy-compare.js';
import {measureLoad} from './policy-load.js';
import {measureMemory} from './policy-memory.js';
import {TARGET_SIZE, CURRENT_SIZE} from './shard-load.js';

/**
 * Runs the benchmark of placement policies.
 *
 * @example
 * const figures = await benchPolicy(console.log);
 */
export function benchPolicy(print: (line: string) => void): Promise<Figures> {
  setFlagsFromString('--expose-gc');
  const memory = measureMemory(print);
  measureLoad(CURRENT_SIZE, () => undefined);
  const load = [CURRENT_SIZE, TARGET_SIZE].map(size =>
    measureLoad(size, print),
  );
  const compared = comparePolicies(print);
  return Promise.resolve({load, memory, compared});
}
