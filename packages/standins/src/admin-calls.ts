/** Calls of a rig to the admin pages of its processes. */
import {fileURLToPath} from 'node:url';
import {callJson, raise, type JsonReply} from '@dragonflyward/common';
import {waitUntil} from './wait.js';

const CALL_TIMEOUT_MS = 5_000;
const START_TIMEOUT_MS = 20_000;

/** Reads a page. */
export function getJson(url: string): Promise<JsonReply> {
  return callJson({method: 'GET', url, timeoutMs: CALL_TIMEOUT_MS});
}

/** Turns switches of a stand-in. */
export async function postAdmin(url: string, body: unknown): Promise<void> {
  const timeoutMs = CALL_TIMEOUT_MS;
  const reply = await callJson({method: 'POST', url, timeoutMs, body});
  if (reply.status !== 200) raise('badRequest', `${url}: ${reply.status}`);
}

/** Waits until a process that was just started answers. */
export async function waitUntilReachable(url: string): Promise<void> {
  await waitUntil(url, START_TIMEOUT_MS, () => getJson(url));
}

/** The path of a stand-in's program. */
export function standinProgramPath(name: string): string {
  return fileURLToPath(new URL(`./${name}-main.js`, import.meta.url));
}
