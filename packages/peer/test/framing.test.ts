import {toFailure} from '@dragonflyward/common';
import {encodeFrame, FrameReader, type Frame} from '@dragonflyward/peer';
import {Encoder} from 'cbor-x';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SEED = 20261204;
const DAMAGED_RUNS = 2000;
/** Bound of the time for one damaged frame, in ms. */
const DAMAGED_MS = 1000;

function tailAsk(id: number): Frame {
  return {kind: 'ask', id, ask: {type: 'configTailAsk', from: id}};
}

const framing = suite('framing');

framing('decodes the frames however the bytes are chunked', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(), {minLength: 1, maxLength: 10}),
      fc.integer({min: 1, max: 50}),
      (ids, chunkSize) => {
        const bytes = Buffer.concat(ids.map(id => encodeFrame(tailAsk(id))));
        const reader = new FrameReader();
        const read: Frame[] = [];
        for (let i = 0; i < bytes.length; i += chunkSize) {
          read.push(...reader.push(bytes.subarray(i, i + chunkSize)));
        }
        assert.equal(read, ids.map(tailAsk));
      },
    ),
    {seed: SEED},
  );
});

// All encoders of cbor-x share their memory. Frames that were encoded into a
// buffer of their own, by `useBuffer`, overwrote stored jobs.
framing('leaves values unchanged that are encoded elsewhere', () => {
  const other = new Encoder({useRecords: false});
  encodeFrame(tailAsk(1));
  const values = [...Array(100).keys()].map(i => ({i, text: 'x'.repeat(i)}));
  const encoded = values.map(value => {
    const bytes = other.encode(value);
    encodeFrame(tailAsk(2));
    return bytes;
  });
  assert.equal(
    encoded.map(bytes => other.decode(bytes) as unknown),
    values,
  );
});

// Frames are encoded into memory that the next value overwrites.
framing('are not overwritten by values that are encoded later', () => {
  const other = new Encoder({useRecords: false});
  const asks = [...Array(100).keys()].map(tailAsk);
  const encoded = asks.map(ask => {
    const bytes = encodeFrame(ask);
    other.encode({text: 'x'.repeat(100)});
    encodeFrame(tailAsk(1000));
    return bytes;
  });
  const read = [...new FrameReader().push(Buffer.concat(encoded))];
  assert.equal(read, asks);
});

framing('refuses a frame that is too long', () => {
  const reader = new FrameReader();
  assert.throws(() => [...reader.push(Buffer.from([255, 255, 255, 255]))]);
});

/** Whole frames of any content, of which some bytes are changed or missing. */
const damagedBytes = fc
  .tuple(
    fc.array(fc.anything({maxDepth: 3}), {minLength: 1, maxLength: 3}),
    fc.array(fc.tuple(fc.nat(), fc.integer({min: 0, max: 255})), {
      maxLength: 4,
    }),
    fc.nat(),
  )
  .map(([contents, changes, end]) => {
    const frames = contents.map(content => encodeFrame(content as Frame));
    const bytes = Buffer.concat(frames);
    for (const [at, byte] of changes) bytes[at % bytes.length] = byte;
    return changes.length > 0 ? bytes : bytes.subarray(0, end % bytes.length);
  });

framing('fails damaged bytes in one way only', () => {
  const property = fc.property(damagedBytes, bytes => {
    try {
      for (const frame of new FrameReader().push(bytes)) void frame;
    } catch (err) {
      assert.is(toFailure(err).kind, 'badRequest');
    }
  });
  fc.assert(property, {seed: SEED, numRuns: DAMAGED_RUNS});
});

function framed(body: Buffer): Buffer {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

// A few bytes may announce gigabytes, or nest without end.
framing('fails what announces more than it has', () => {
  const huge = [0x9a, 0xba, 0x5a, 0x7a].map(type =>
    Buffer.from([type, 0xff, 0xff, 0xff, 0xff, 0]),
  );
  const deep = [0x81, 0xa1, 0xc1].map(type => Buffer.alloc(1_000_000, type));
  for (const body of [...huge, ...deep]) {
    const reader = new FrameReader();
    const startMs = performance.now();
    assert.throws(() => [...reader.push(framed(body))], /badRequest|not CBOR/);
    const tookMs = performance.now() - startMs;
    assert.ok(tookMs < DAMAGED_MS, `took ${tookMs} ms`);
  }
});

framing.run();
