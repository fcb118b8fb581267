/** Length-prefixed CBOR frames over a byte stream. */
import {raise} from '@dragonflyward/common';
import {Decoder, Encoder} from 'cbor-x';
import type {
  Frame,
  GatewayProtocol,
  PeerProtocol,
  ReplyPart,
} from './messages.js';

const LENGTH_BYTES = 4;
/** Set in the length of a frame that is a part of a reply. */
const PART_FLAG = 0x8000_0000;
/** A part begins with the id of the ask and whether it is the last one. */
const PART_HEADER_BYTES = 5;
/** The bytes of a part's frame before the part of the reply. */
export const PART_PREFIX_BYTES = LENGTH_BYTES + PART_HEADER_BYTES;
/** A longer frame closes the connection. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** An encoder with the options that its types leave out. */
interface ResettingEncoder {
  encode(value: unknown, options: number): Buffer;
}

/**
 * Lets an encoder of cbor-x write the next value over this one. `useBuffer`
 * instead sets the memory of all encoders, whose values are then overwritten.
 */
const RESET_BUFFER_MODE = 1024;

const encoder = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
}) as ResettingEncoder;
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
  return Buffer.concat(encodeShortLived(frame));
}

/**
 * Encodes a frame into the memory that the next call of any encoder uses again.
 * The parts, length prefix and content, must be copied before that.
 *
 * @example
 * queue.write(...encodeShortLived({kind: 'notice', notice: heartbeat}));
 */
export function encodeShortLived<P extends PeerProtocol = GatewayProtocol>(
  frame: Frame<P>,
): readonly [prefix: Buffer, body: Buffer] {
  const body = encoder.encode(frame, RESET_BUFFER_MODE);
  const prefix = Buffer.allocUnsafe(LENGTH_BYTES);
  prefix.writeUInt32BE(body.length, 0);
  return [prefix, body];
}

/**
 * Writes what comes before a part of a reply in its frame.
 *
 * @example
 * writePartPrefix(block, {id, isLast: false}, bytes);
 */
export function writePartPrefix(
  block: Buffer,
  {id, isLast}: Pick<ReplyPart, 'id' | 'isLast'>,
  bytes: number,
): void {
  block.writeUInt32BE(PART_FLAG + PART_HEADER_BYTES + bytes, 0);
  block.writeUInt32BE(id, LENGTH_BYTES);
  block.writeUInt8(isLast ? 1 : 0, LENGTH_BYTES + 4);
}

/** Splits a byte stream into frames. */
export class FrameReader<P extends PeerProtocol = GatewayProtocol> {
  /** Holds the start of a frame; its memory is not used for another frame. */
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;
  /** A longer frame is an error; a connection may change it. */
  maxFrameBytes = MAX_FRAME_BYTES;
  /** The size of the frame that was yielded last, in bytes. */
  frameBytes = 0;

  /** The size of the memory that holds an incomplete frame, in bytes. */
  get heldBytes(): number {
    return this.buffer.length;
  }

  /**
   * Adds received bytes and yields the frames that are now complete.
   *
   * @throws badRequest for a frame that is too long or not valid CBOR
   * @example
   * for (const frame of reader.push(chunk)) handle(frame);
   */
  *push(chunk: Buffer): Generator<Frame<P>> {
    let data = this.used === 0 ? chunk : this.append(chunk);
    const {length: received} = data;
    while (data.length >= LENGTH_BYTES) {
      const head = data.readUInt32BE(0);
      const isPart = head >= PART_FLAG;
      const length = isPart ? head - PART_FLAG : head;
      if (length > this.maxFrameBytes) {
        raise('badRequest', `frame of ${length} B`);
      }
      const end = LENGTH_BYTES + length;
      if (data.length < end) break;
      const body = data.subarray(LENGTH_BYTES, end);
      data = data.subarray(end);
      this.frameBytes = end;
      yield isPart ? decodePart(body) : decodeFrame<P>(body);
    }
    const isUnchanged = this.used > 0 && data.length === received;
    if (isUnchanged) return;
    this.buffer = Buffer.alloc(0);
    this.used = 0;
    if (data.length > 0) this.append(data);
  }

  /** Appends bytes; the memory doubles, so that each byte is copied rarely. */
  private append(data: Buffer): Buffer {
    const needed = this.used + data.length;
    if (needed > this.buffer.length) {
      const size = Math.max(needed, 2 * this.buffer.length);
      const larger = Buffer.allocUnsafeSlow(size);
      this.buffer.copy(larger, 0, 0, this.used);
      this.buffer = larger;
    }
    data.copy(this.buffer, this.used);
    this.used = needed;
    return this.buffer.subarray(0, needed);
  }
}

function decodePart(body: Buffer): ReplyPart {
  if (body.length < PART_HEADER_BYTES) {
    return raise('badRequest', `part of ${body.length} bytes`);
  }
  return {
    kind: 'part',
    id: body.readUInt32BE(0),
    isLast: body.readUInt8(4) === 1,
    bytes: body.subarray(PART_HEADER_BYTES),
  };
}

/**
 * Decodes the content of a frame.
 *
 * @throws badRequest if it is not valid CBOR
 * @example
 * const frame = decodeFrame(reply.toBuffer());
 */
export function decodeFrame<P extends PeerProtocol>(body: Buffer): Frame<P> {
  try {
    return decoder.decode(body) as Frame<P>;
  } catch {
    return raise('badRequest', `frame of ${body.length} bytes is not CBOR`);
  }
}
