/** Length-prefixed CBOR frames over a byte stream. */
import {raise} from '@dragonflyward/common';
import {Decoder, Encoder} from 'cbor-x';
import type {Frame, GatewayProtocol, PeerProtocol} from './messages.js';

const LENGTH_BYTES = 4;
/** A longer frame closes the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/**
 * Encodes a frame with a length prefix.
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
  private buffered: Buffer = Buffer.alloc(0);

  /**
   * Adds received bytes and yields the frames that are now complete.
   *
   * @throws badRequest for a frame that is too long or not valid CBOR
   * @example
   * for (const frame of reader.push(chunk)) handle(frame);
   */
  *push(chunk: Buffer): Generator<Frame<P>> {
    this.buffered =
      this.buffered.length === 0
        ? chunk
        : Buffer.concat([this.buffered, chunk]);
    while (this.buffered.length >= LENGTH_BYTES) {
      const length = this.buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) raise('badRequest', `frame of ${length} B`);
      const end = LENGTH_BYTES + length;
      if (this.buffered.length < end) return;
      const body = this.buffered.subarray(LENGTH_BYTES, end);
      this.buffered = this.buffered.subarray(end);
      yield decodeFrame<P>(body);
    }
  }
}

function decodeFrame<P extends PeerProtocol>(body: Buffer): Frame<P> {
  try {
    return decoder.decode(body) as Frame<P>;
  } catch {
    return raise('badRequest', `frame of ${body.length} bytes is not CBOR`);
  }
}
