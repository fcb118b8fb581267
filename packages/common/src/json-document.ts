/** JSON with comments whose values can be traced to their lines. */
import {
  parse,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {Ok} from 'ts-results-es';
import {fail, type Fallible} from './errors.js';

/** Path of a value, outermost segment first. */
export type JsonPath = readonly (string | number)[];

/** A key that has no effect, as a later one of the object replaces it. */
export interface ReplacedKey {
  readonly path: JsonPath;
  readonly line: number;
  /** Line of the key that is used instead; undefined if none is. */
  readonly usedLine: number | undefined;
}

const PARSE_OPTIONS = {allowTrailingComma: true} as const;
/** Assigning this key sets a prototype, so it is lost when sent as JSON. */
const PROTOTYPE_KEY = '__proto__';

/** A parsed document. */
export class JsonDocument {
  /** The keys that have no effect. */
  readonly replacedKeys: readonly ReplacedKey[];
  private readonly lineStarts: readonly number[];

  constructor(
    /** The value as it arrives after being sent as plain JSON. */
    readonly value: unknown,
    private readonly root: Node,
    text: string,
  ) {
    const breaks = [...text.matchAll(/\n/g)];
    this.lineStarts = [0, ...breaks.map(({index}) => index + 1)];
    this.replacedKeys = [...this.findReplacedKeys(root, [])];
  }

  /**
   * Returns the line of a value, or of the innermost value around it.
   *
   * @example
   * document.lineOf(['exceptions', 0, 'reason']); // 17
   */
  lineOf(path: JsonPath): number {
    for (let length = path.length; length > 0; length -= 1) {
      const node = findNode(this.root, path.slice(0, length));
      if (node !== undefined) return this.lineAt(startOf(node));
    }
    return this.lineAt(this.root.offset);
  }

  /** Whether the document has a value at a path. */
  has(path: JsonPath): boolean {
    return findNode(this.root, path) !== undefined;
  }

  private *findReplacedKeys(
    node: Node,
    path: JsonPath,
  ): Generator<ReplacedKey> {
    const children = node.children ?? [];
    if (node.type === 'array') {
      for (const [i, child] of children.entries()) {
        yield* this.findReplacedKeys(child, [...path, i]);
      }
      return;
    }
    const used = new Map(children.map(child => [keyOf(child), child]));
    for (const child of children) {
      const key = keyOf(child);
      const childPath = [...path, key];
      const line = this.lineAt(child.offset);
      const last = used.get(key) ?? child;
      if (key === PROTOTYPE_KEY) {
        yield {path: childPath, line, usedLine: undefined};
      } else if (last !== child) {
        yield {path: childPath, line, usedLine: this.lineAt(last.offset)};
      } else {
        const value = child.children?.[1];
        if (value) yield* this.findReplacedKeys(value, childPath);
      }
    }
  }

  /** Finds the line by bisection, as reports ask for many lines. */
  private lineAt(offset: number): number {
    let low = 0;
    let high = this.lineStarts.length;
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if ((this.lineStarts[middle] ?? 0) <= offset) low = middle;
      else high = middle;
    }
    return low + 1;
  }
}

/**
 * Parses JSON with comments and trailing commas.
 *
 * @example
 * const document = parseJsonDocument('{"port": 1} // why');
 * if (document.isErr()) console.error(document.error.detail);
 */
export function parseJsonDocument(text: string): Fallible<JsonDocument> {
  try {
    return parseText(text);
  } catch (err) {
    // The parser, JSON.stringify and findReplacedKeys are recursive.
    if (err instanceof RangeError) return fail('badJson', 'nested too deeply');
    throw err;
  }
}

function parseText(text: string): Fallible<JsonDocument> {
  const parseErrors: ParseError[] = [];
  const root = parseTree(text, parseErrors, PARSE_OPTIONS);
  const [parseError] = parseErrors;
  if (parseError !== undefined) {
    const line = text.slice(0, parseError.offset).split('\n').length;
    const reason = printParseErrorCode(parseError.error);
    return fail('badJson', `line ${line}: not JSON (${reason})`);
  }
  if (root === undefined) return fail('badJson', 'empty');
  const parsed: unknown = parse(text, [], PARSE_OPTIONS);
  const value: unknown = JSON.parse(JSON.stringify(parsed));
  return Ok(new JsonDocument(value, root, text));
}

/** Of equal keys it takes the last one, as the parser does. */
function findNode(root: Node, path: JsonPath): Node | undefined {
  let node: Node | undefined = root;
  for (const part of path) {
    const children: readonly Node[] = node?.children ?? [];
    node =
      typeof part === 'number'
        ? children[part]
        : children.findLast(child => keyOf(child) === part)?.children?.[1];
  }
  return node;
}

/** The offset of a value's key, or of the value itself in an array. */
function startOf(node: Node): number {
  const {parent} = node;
  return parent?.type === 'property' ? parent.offset : node.offset;
}

function keyOf(property: Node): string {
  return String(property.children?.[0]?.value);
}
