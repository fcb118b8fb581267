/** Selects the headers that are relayed between callers and executors. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

/** Headers that concern a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** Headers that the gateway reads or writes itself. */
const GATEWAY_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'authorization',
  'content-length',
  'expect',
  'x-idempotent',
  'x-deadline-ms',
  'x-request-id',
  'x-team',
  'x-outcome',
  'x-draining',
]);

/**
 * Drops the hop-by-hop headers and those that the gateway handles itself.
 *
 * @example
 * const headers = selectEndToEndHeaders(req.headers);
 */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const connectionOptions = readConnectionOptions(headers.connection);
  const selected: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || GATEWAY_HEADERS.has(name)) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || connectionOptions.has(name)) continue;
    selected[name] = value;
  }
  return selected;
}

function readConnectionOptions(
  connection: string | undefined,
): ReadonlySet<string> {
  const names = (connection ?? '').split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}
