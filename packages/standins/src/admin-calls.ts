/** Calls to the admin endpoints of a rig's processes. */
import {fileURLToPath} from 'node:url';
import {callJson, raise, type JsonReply} from '@dragonflyward/common';
import {waitUntil} from './wait.js';

const CALL_TIMEOUT_MS = 5_000;
const START_TIMEOUT_MS = 20_000;

/** Sends a GET request and parses the JSON reply. */
export function getJson(url: string): Promise<JsonReply> {
  return callJson({method: 'GET', url, timeoutMs: CALL_TIMEOUT_MS});
}

/** Posts a change to the admin endpoint of a stand-in. */
export async function postAdmin(url: string, body: unknown): Promise<void> {
  const timeoutMs = CALL_TIMEOUT_MS;
  const res = await callJson({method: 'POST', url, timeoutMs, body});
  if (res.status !== 200) raise('badRequest', `${url}: status ${res.status}`);
}

/** Waits until a process that was just started answers requests. */
export async function waitUntilReachable(url: string): Promise<void> {
  await waitUntil(url, START_TIMEOUT_MS, () => getJson(url));
}

/** Returns the path of a stand-in's program. */
export function standinProgramPath(name: string): string {
  return fileURLToPath(new URL(`./${name}-main.js`, import.meta.url));
}
