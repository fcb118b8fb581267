/** Reads JSON documents within a size limit and a timeout. */
import {createReadStream, statSync} from 'node:fs';
import {addAbortSignal, type Readable} from 'node:stream';
import {raise, toFailure} from './errors.js';
import {parseJsonDocument, type JsonDocument} from './json-document.js';

/** The file name that stands for standard input. */
export const STDIN_NAME = '-';

/** Limits of one run. */
export interface InputLimits {
  /** The largest input, in bytes. */
  readonly maxBytes: number;
  /** Time for all inputs together, to be named in messages. */
  readonly timeoutMs: number;
  /** Aborted when the time is over. */
  readonly signal: AbortSignal;
}

/**
 * Reads and parses a file.
 *
 * @throws configInvalid, with the file and what prevents its use
 * @example
 * const document = await readDocumentFile('fleet.jsonc', limits);
 */
export async function readDocumentFile(
  file: string,
  limits: InputLimits,
): Promise<JsonDocument> {
  return parse(await readTextFile(file, limits), file);
}

/**
 * Reads and parses a stream, which is closed afterwards.
 *
 * @throws configInvalid, with the name and what prevents its use
 * @example
 * const document = await readDocument(process.stdin, 'stdin', limits);
 */
export async function readDocument(
  stream: Readable,
  name: string,
  limits: InputLimits,
): Promise<JsonDocument> {
  return parse(await readTextStream(stream, name, limits), name);
}

/**
 * Reads a file.
 *
 * @throws configInvalid, with the file and what prevents its use
 * @example
 * const text = await readTextFile('fleet.jsonc', limits);
 */
export async function readTextFile(
  file: string,
  limits: InputLimits,
): Promise<string> {
  // Opening a pipe that nobody writes to would block beyond the timeout.
  if (!isRegularFile(file)) return refuse(file, 'not a regular file');
  // One byte more than allowed tells that the file is too large.
  const stream = createReadStream(file, {end: limits.maxBytes});
  return readTextStream(stream, file, limits);
}

function parse(text: string, name: string): JsonDocument {
  const parsed = parseJsonDocument(text);
  return parsed.isOk() ? parsed.value : refuse(name, parsed.error.detail);
}

function isRegularFile(file: string): boolean {
  try {
    return statSync(file).isFile();
  } catch {
    return refuse(file, 'cannot read the file');
  }
}

/**
 * Reads a stream, which is closed afterwards.
 *
 * @throws configInvalid, with the name and what prevents its use
 * @example
 * const text = await readTextStream(process.stdin, 'stdin', limits);
 */
export async function readTextStream(
  stream: Readable,
  name: string,
  {maxBytes, timeoutMs, signal}: InputLimits,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of addAbortSignal(signal, stream)) {
      chunks.push(Buffer.from(chunk as Uint8Array));
      size += (chunk as Uint8Array).length;
      if (size > maxBytes) break;
    }
  } catch (err) {
    if (signal.aborted) return refuse(name, `not read within ${timeoutMs} ms`);
    return refuse(name, `cannot be read: ${toFailure(err).detail}`);
  }
  if (size > maxBytes) return refuse(name, `larger than ${maxBytes} bytes`);
  return decodeText(Buffer.concat(chunks), name);
}

function decodeText(bytes: Uint8Array, name: string): string {
  // A byte order mark is kept and refused, as "config publish" refuses it.
  const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
  try {
    return decoder.decode(bytes);
  } catch {
    return refuse(name, 'not UTF-8');
  }
}

function refuse(name: string, reason: string): never {
  return raise('configInvalid', `${name}: ${reason}`);
}
