/** Which headers travel between callers and executors. */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
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
const OWN: ReadonlySet<string> = new Set([
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
 * Keeps the headers that are meant for the other end.
 *
 * @example
 * const headers = endToEnd(req.headers);
 */
export function endToEnd(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const named = listed(headers.connection);
  const kept: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || OWN.has(name)) continue;
    if (HOP_BY_HOP.has(name) || named.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

function listed(connection: string | undefined): ReadonlySet<string> {
  const names = (connection ?? '').split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}
