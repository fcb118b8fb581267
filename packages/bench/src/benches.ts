/** Lists all benchmarks. */
import {benchControl} from './control.js';
import {benchPolicy} from './policy.js';
import {benchRelay} from './relay.js';
import {benchState} from './state.js';

/** The results of a benchmark, as printed with `--json`. */
export type Figures = Readonly<Record<string, unknown>>;

/** Runs a benchmark, prints readable lines and returns the results. */
export type Bench = (print: (line: string) => void) => Promise<Figures>;

/** All benchmarks by name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  control: benchControl,
  policy: benchPolicy,
  relay: benchRelay,
  state: benchState,
};
