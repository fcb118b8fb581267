/** What an owner tells the other VMs of its jobs, and how often. */
import {ManualClock} from '@dragonflyward/common';
import {
  JobTable,
  RowPublisher,
  type JobPhase,
  type JobRow,
  type JobsNotice,
} from '@dragonflyward/cell';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

interface Sent {
  readonly to: readonly string[];
  readonly notice: JobsNotice;
}

interface Rig {
  readonly clock: ManualClock;
  readonly publisher: RowPublisher<string>;
  readonly vms: string[];
  readonly sent: Sent[];
}

function row(id: string, phase: JobPhase): JobRow {
  return {id, phase, queue: 'q', organisation: 'o'};
}

/** Starts a publisher; the connection of each VM is its name. */
function newRig(vms: string[], currentRows: () => JobRow[] = () => []): Rig {
  const clock = new ManualClock();
  const sent: Sent[] = [];
  const publisher = new RowPublisher<string>({
    clock,
    term: 7,
    receivers: () => vms.map(vm => ({vm, connection: vm})),
    currentRows,
    send: (to, notice) => sent.push({to: [...to], notice}),
    onNewReceivers: () => undefined,
  });
  void publisher.run();
  return {clock, publisher, vms, sent};
}

const publishing = suite('row publisher');

publishing('tells the VM that took a job of its end at once', async () => {
  const {clock, publisher, sent} = newRig(['a', 'b']);
  sent.length = 0;
  publisher.recordTaker('j', 'b');
  publisher.publish([row('j', 'running')]);
  assert.is(sent.length, 0);
  publisher.publish([row('j', 'completed')]);
  assert.equal(sent, [
    {
      to: ['b'],
      notice: {
        type: 'jobs',
        term: 7,
        isFull: false,
        rows: [row('j', 'completed')],
      },
    },
  ]);
  sent.length = 0;
  await clock.advance(50);
  // The batch tells of each job once.
  assert.equal(
    sent.map(({to, notice}) => [to, notice.rows]),
    [[['a', 'b'], [row('j', 'completed')]]],
  );
});

publishing('sends the current rows to a VM that has connected', async () => {
  const {clock, publisher, vms, sent} = newRig(['a'], () => [
    row('open', 'running'),
  ]);
  sent.length = 0;
  vms.push('b');
  publisher.publish([row('j', 'queued')]);
  await clock.advance(50);
  assert.equal(
    sent.map(({to, notice}) => [to, notice.isFull, notice.rows[0]?.id]),
    [
      [['a'], false, 'j'],
      [['b'], true, 'open'],
    ],
  );
});

publishing('sends few batches, however many VMs and jobs', async () => {
  const vms = [...Array(96).keys()].map(i => `vm-${i}`);
  const {clock, publisher, sent} = newRig(vms);
  sent.length = 0;
  for (let ms = 0; ms < 1000; ms += 10) {
    publisher.publish([row(`j${ms}`, 'running')]);
    await clock.advance(10);
  }
  assert.ok(sent.length <= 6, `${sent.length} batches in a second`);
  const rows = sent.reduce((sum, {notice}) => sum + notice.rows.length, 0);
  assert.ok(rows > 70, `${rows} rows`);
});

publishing('sends nothing once it is closed', async () => {
  const {clock, publisher, sent} = newRig(['a']);
  sent.length = 0;
  publisher.close();
  publisher.publish([row('j', 'completed')]);
  await clock.advance(1000);
  assert.equal(sent, []);
});

publishing('a table forgets open jobs that a full update lacks', () => {
  const table = new JobTable(new ManualClock());
  table.set(row('ended', 'running'));
  table.set(row('waits', 'queued'));
  table.set(row('done', 'completed'));
  table.replaceOpen([row('waits', 'queued'), row('new', 'queued')]);
  assert.is(table.get('ended'), undefined);
  assert.is(table.get('done')?.phase, 'completed');
  assert.is(table.countWaiting('q'), 2);
});

publishing.run();
