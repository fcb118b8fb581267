/** Leaves out dependencies between steps that others imply. */
import type {StepSpec} from './types.js';

/** Above this many steps, the sets of the steps before each are too large. */
const MAX_STEPS = 2048;
const WORD_BITS = 32;

/**
 * Returns the steps without the dependencies that follow from others: where
 * each of 300 steps waits for all before it, one dependency each remains.
 *
 * @example
 * const compact = withoutImpliedDependencies(spec.steps);
 */
export function withoutImpliedDependencies(
  steps: readonly StepSpec[],
): readonly StepSpec[] {
  const isShort = steps.every(({after}) => after.length <= 1);
  if (isShort || steps.length > MAX_STEPS) return steps;
  const words = Math.ceil(steps.length / WORD_BITS);
  const before: Uint32Array[] = [];
  return steps.map((step, i) => {
    const all = new Uint32Array(words);
    before.push(all);
    const needed: number[] = [];
    for (const each of [...step.after].sort((a, b) => b - a)) {
      const earlier = each < i ? before[each] : undefined;
      // A record may name a step that does not come before.
      if (earlier === undefined) needed.push(each);
      else if (!hasBit(all, each)) {
        needed.push(each);
        earlier.forEach((word, w) => (all[w] = (all[w] ?? 0) | word));
        setBit(all, each);
      }
    }
    return needed.length === step.after.length
      ? step
      : {...step, after: needed.reverse()};
  });
}

function hasBit(words: Uint32Array, index: number): boolean {
  const word = words[Math.floor(index / WORD_BITS)] ?? 0;
  return (word & (1 << (index % WORD_BITS))) !== 0;
}

function setBit(words: Uint32Array, index: number): void {
  const at = Math.floor(index / WORD_BITS);
  words[at] = (words[at] ?? 0) | (1 << (index % WORD_BITS));
}
