/** Length-prefixed frames of CBOR over a byte stream. */
import {raise} from '@dragonflyward/common';
import {Decoder, Encoder} from 'cbor-x';
import type {Frame, GatewayProtocol, PeerProtocol} from './messages.js';

const LENGTH_BYTES = 4;
/** A longer frame ends the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/**
 * Encodes a frame with its length before it.
 *
 * @example
 * socket.write(encodeFrame({kind: 'notice', notice: heartbeat}));
 */
export function encodeFrame<P extends PeerProtocol = GatewayProtocol>(
  frame: Frame<P>,
): Buffer {
  const body = encoder.encode(frame);
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  out.writeUInt32BE(body.length, 0);
  body.copy(out, LENGTH_BYTES);
  return out;
}

/** Splits a byte stream into frames. */
export class FrameReader<P extends PeerProtocol = GatewayProtocol> {
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Takes in bytes and yields the frames that they complete.
   *
   * @throws badRequest on a frame that is too long or not CBOR
   * @example
   * for (const frame of reader.push(chunk)) handle(frame);
   */
  *push(chunk: Buffer): Generator<Frame<P>> {
    this.pending =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    while (this.pending.length >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) raise('badRequest', `frame of ${length}`);
      const end = LENGTH_BYTES + length;
      if (this.pending.length < end) return;
      const body = this.pending.subarray(LENGTH_BYTES, end);
      this.pending = this.pending.subarray(end);
      yield decodeFrame<P>(body);
    }
  }
}

function decodeFrame<P extends PeerProtocol>(body: Buffer): Frame<P> {
  try {
    return decoder.decode(body) as Frame<P>;
  } catch {
    return raise('badRequest', `${body.length} bytes are not CBOR`);
  }
}
