import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {sendJson} from '@dragonflyward/common';
import {HttpVmListClient} from '@dragonflyward/vms';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

interface ScriptedResponse {
  readonly status: number;
  readonly etag: string;
  readonly vms: readonly object[];
}

/** VM list server with scripted responses; records the received ETags. */
class ScriptedVmListServer {
  readonly receivedEtags: (string | undefined)[] = [];
  private readonly server = http.createServer((req, res) => {
    this.receivedEtags.push(req.headers['if-none-match']);
    const response = this.responses.shift() ?? {status: 503, etag: '', vms: []};
    res.setHeader('etag', response.etag);
    if (response.status !== 304) {
      return sendJson(res, response.status, {vms: response.vms});
    }
    res.writeHead(response.status).end();
  });

  constructor(private readonly responses: ScriptedResponse[]) {}

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

list('reuses the list while its ETag is unchanged', async () => {
  const old = [{id: 'a'}];
  const server = new ScriptedVmListServer([
    {status: 200, etag: '"1"', vms: old},
    {status: 304, etag: '"1"', vms: []},
    {status: 200, etag: '"2"', vms: []},
  ]);
  const client = new HttpVmListClient(await server.start());
  assert.equal(await client.list(), old);
  assert.equal(await client.list(), old);
  assert.equal(await client.list(), []);
  assert.equal(server.receivedEtags, [undefined, '"1"', '"1"']);
  server.stop();
});

list('fails during an outage instead of returning the old list', async () => {
  const server = new ScriptedVmListServer([
    {status: 200, etag: '"1"', vms: []},
  ]);
  const client = new HttpVmListClient(await server.start());
  await client.list();
  try {
    await client.list();
    assert.unreachable();
  } catch (err) {
    assert.match(String(err), 'status 503');
  }
  server.stop();
});

list.run();
