/** The table of all benchmarks. */
import {benchControl} from './control.js';
import {benchPolicy} from './policy.js';
import {benchRelay} from './relay.js';
import {benchState} from './state.js';

/** Figures of a benchmark, as they are printed with `--json`. */
export type Figures = Readonly<Record<string, unknown>>;

/** Measures, prints lines for a reader, and returns the figures. */
export type Bench = (print: (line: string) => void) => Promise<Figures>;

/** All benchmarks by name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  control: benchControl,
  policy: benchPolicy,
  relay: benchRelay,
  state: benchState,
};
