import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {sendJson} from '@dragonflyward/common';
import {HttpVmListClient} from '@dragonflyward/vms';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

interface Answer {
  readonly status: number;
  readonly etag: string;
  readonly vms: readonly object[];
}

/** A list of VMs that answers as told and notes what it was asked. */
class ScriptedList {
  readonly asked: (string | undefined)[] = [];
  private readonly server = http.createServer((req, res) => {
    this.asked.push(req.headers['if-none-match']);
    const answer = this.answers.shift() ?? {status: 503, etag: '', vms: []};
    res.setHeader('etag', answer.etag);
    if (answer.status !== 304) {
      return sendJson(res, answer.status, {vms: answer.vms});
    }
    res.writeHead(answer.status).end();
  });

  constructor(private readonly answers: Answer[]) {}

  async start(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

const list = suite('list of VMs over HTTP');

list('keeps the list while its version stays', async () => {
  const old = [{id: 'a'}];
  const scripted = new ScriptedList([
    {status: 200, etag: '"1"', vms: old},
    {status: 304, etag: '"1"', vms: []},
    {status: 200, etag: '"2"', vms: []},
  ]);
  const client = new HttpVmListClient(await scripted.start());
  assert.equal(await client.list(), old);
  assert.equal(await client.list(), old);
  assert.equal(await client.list(), []);
  assert.equal(scripted.asked, [undefined, '"1"', '"1"']);
  scripted.stop();
});

list('fails in an outage and does not pass the old list off', async () => {
  const scripted = new ScriptedList([{status: 200, etag: '"1"', vms: []}]);
  const client = new HttpVmListClient(await scripted.start());
  await client.list();
  try {
    await client.list();
    assert.unreachable();
  } catch (err) {
    assert.match(String(err), 'status 503');
  }
  scripted.stop();
});

list.run();
