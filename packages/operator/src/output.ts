/** Prints results and errors as text or as one JSON document. */
import {ERRORS, toFailure} from '@dragonflyward/common';
import {exitCodeOf, type ExitCode} from './exit-codes.js';

/** Receives the text for standard output and standard error. */
export interface TextSink {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

/** The standard streams of this process. */
export const STANDARD_SINK: TextSink = {
  out: text => void process.stdout.write(text),
  err: text => void process.stderr.write(text),
};

/** Prints results and errors as text or JSON. */
export class Output {
  constructor(
    private readonly isJson: boolean,
    private readonly sink: TextSink = STANDARD_SINK,
  ) {}

  /**
   * Prints a result: the value as JSON, or the lines as text.
   *
   * @example
   * output.print({revision}, [`revision ${revision}`]);
   */
  print(value: unknown, lines: Iterable<string>): void {
    if (this.isJson) {
      this.sink.out(`${JSON.stringify(value, null, 2)}\n`);
      return;
    }
    for (const line of lines) this.sink.out(`${line}\n`);
  }

  /** Prints an error and returns the exit code that belongs to it. */
  printError(err: unknown, exitCode: ExitCode = exitCodeOf(err)): ExitCode {
    const {kind, detail} = toFailure(err);
    const {code, text} = ERRORS[kind];
    if (this.isJson) {
      this.print({error: {kind, code, detail, exitCode}}, []);
    } else {
      this.sink.err(`error: ${text}: ${detail}\n`);
    }
    return exitCode;
  }
}

const COLUMN_GAP = '  ';

/**
 * Formats rows under a heading, each column as wide as its longest cell.
 *
 * @example
 * for (const line of toTable(['vm', 'role'], rows)) console.log(line);
 */
export function* toTable(
  heading: readonly string[],
  rows: readonly (readonly string[])[],
): Generator<string> {
  const allRows = [heading, ...rows];
  const widths = heading.map((_, column) =>
    Math.max(...allRows.map(row => (row[column] ?? '').length)),
  );
  for (const row of allRows) {
    const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0));
    yield cells.join(COLUMN_GAP).trimEnd();
  }
}
