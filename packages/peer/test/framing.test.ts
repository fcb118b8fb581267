import {encodeFrame, FrameReader, type Frame} from '@dragonflyward/peer';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';

const SEED = 20261204;

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

framing('refuses a frame that is too long', () => {
  const reader = new FrameReader();
  assert.throws(() => [...reader.push(Buffer.from([255, 255, 255, 255]))]);
});

framing.run();
