/** `explain` on lines as VMs log them. */
import {
  ctlProgram,
  EXIT,
  explainJob,
  formatExplanation,
  parseLogLine,
  type LogLine,
} from '@dragonflyward/operator';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const JOB = '9738ad83c4e45784';
const TAKER = [
  `{"level":30,"time":1000,"vm":"b","event":"jobStored","job":"${JOB}","queue":"r-azf","organisation":"jele","outcome":"stored","tookMs":74}`,
  '{"level":30,"time":1100,"vm":"b","event":"jobStored","job":"0000000000000001","queue":"r-azf","outcome":"stored","tookMs":8}',
  '{"level":30,"time":9000,"vm":"b","event":"ownerClaimed","term":2,"former":"a"}',
  '{"level":30,"time":90',
];
const OWNER = [
  '{"level":30,"time":1500,"vm":"a","event":"queueState","queue":"r-azf","steps":2,"reasons":{"ticket":2}}',
  '{"level":30,"time":1600,"vm":"a","event":"queueState","queue":"other","steps":9,"reasons":{"room":9}}',
  `{"level":30,"time":1900,"vm":"a","event":"startsDecided","step":"${JOB}.0.0","runs":[[0,1,"i-1"],[1,1,"i-2"]]}`,
  `{"level":30,"time":2500,"vm":"a","event":"runsEnded","executorId":"i-1","runs":[["${JOB}.0.0.0",1,"done"],["0000000000000001.0.0.0",1,"done"]]}`,
  `{"level":30,"time":5747,"vm":"a","event":"jobEnded","job":"${JOB}","phase":"completed","queue":"r-azf","tookMs":4747}`,
  'Sat Dec 5 a {"level":30,"time":60000,"vm":"a","event":"cellState","jobs":3}',
];

function parse(texts: readonly string[]): readonly LogLine[] {
  return texts
    .map(parseLogLine)
    .filter((line): line is LogLine => line !== null);
}

const explaining = suite('explanation from logs');

explaining('follows a job over the logs of several VMs', () => {
  const explanation = explainJob(JOB, parse([...TAKER, ...OWNER]));
  const rows = [...formatExplanation(JOB, explanation)];
  assert.equal(rows, [
    '    0.000   b jobStored job="9738ad83c4e45784" queue="r-azf" organisation="jele" outcome="stored" tookMs=74',
    '    0.500 | a queueState queue="r-azf" steps=2 reasons={"ticket":2}',
    '    0.900   a startsDecided step="9738ad83c4e45784.0.0" runs=[[0,1,"i-1"],[1,1,"i-2"]]',
    '    1.500   a runsEnded executorId="i-1" runs=[["9738ad83c4e45784.0.0.0",1,"done"]]',
    '    4.747   a jobEnded job="9738ad83c4e45784" phase="completed" queue="r-azf" tookMs=4747',
    '    8.000 | b ownerClaimed term=2 former="a"',
  ]);
});

explaining('passes over what is no line of a VM', () => {
  for (const text of ['', 'text', '{}', '{"time":"now","event":"x"}', '{"a']) {
    assert.is(parseLogLine(text), null);
  }
  assert.is(parse(OWNER).at(-1)?.event, 'cellState');
});

explaining('is a command that reads files', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'dragonflyward-explain-'));
  const files = [TAKER, OWNER].map((lines, i) => {
    const file = join(dir, `${i}.log`);
    writeFileSync(file, lines.join('\n'));
    return file;
  });
  let out = '';
  const exits: unknown[] = [];
  const program = ctlProgram({
    sink: {out: text => (out += text), err: () => undefined},
    env: {},
  });
  const run = async (job: string): Promise<void> => {
    try {
      await program.parseAsync(['explain', job, ...files], {from: 'user'});
    } catch (err) {
      exits.push((err as {exitCode?: number}).exitCode);
    }
  };
  await run(JOB);
  assert.match(out, /0\.900 +a startsDecided/);
  await run('ffffffffffffffff');
  assert.equal(exits.filter(code => code !== EXIT.ok).length, 1);
  rmSync(dir, {recursive: true});
});

explaining.run();
