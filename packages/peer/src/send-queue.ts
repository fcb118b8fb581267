/** Data that waits until a connection's peer reads. */
import {sharedBlocks} from '@dragonflyward/common';
import type net from 'node:net';
import {PART_PREFIX_BYTES, writePartPrefix} from './framing.js';

/**
 * Bytes up to which data is handed to the socket. A socket that is destroyed
 * frees its data only after all events of the event loop's turn, in which many
 * connections may be closed.
 */
const SOCKET_BYTES = 64 * 1024;
/**
 * Longer data of one connection goes through blocks at once: V8 frees buffers
 * of their own only after about 64 MB of them.
 */
const MAX_UNPOOLED_BYTES = 16 * 1024;
/** A longer buffer that several connections share is not copied. */
const MAX_COPIED_BYTES = 64 * 1024;

interface Part {
  readonly buffer: Buffer;
  used: number;
  /** Whether the buffer is a block of the pool; otherwise it is shared. */
  readonly isPooled: boolean;
}

/**
 * Writes data to a socket in order, and holds what it cannot take yet in blocks
 * that are used again. In buffers of their own, V8 had not yet freed the queues
 * of closed connections when the next ones filled: 32 MB took up to 140 MB.
 */
export class SendQueue {
  private readonly parts: Part[] = [];
  /** Long replies by the id of the ask; the one whose turn is next first. */
  private readonly replies = new Map<number, Part[]>();
  private heldBytes = 0;
  private isClosed = false;

  constructor(private readonly socket: net.Socket) {
    socket.on('drain', () => this.flush());
  }

  /** Bytes that the peer has not read, as far as this process holds them. */
  get bytes(): number {
    return this.heldBytes + this.socket.writableLength;
  }

  /** Sends a copy of the data, which this connection alone holds. */
  write(...parts: readonly Buffer[]): void {
    const length = parts.reduce((sum, each) => sum + each.length, 0);
    if (length <= MAX_UNPOOLED_BYTES && this.canTake(length)) {
      this.socket.write(Buffer.concat(parts, length));
      return;
    }
    for (const part of parts) this.hold(part);
    this.flush();
  }

  /** Sends data that other connections may share. */
  writeShared(data: Buffer): void {
    if (this.canTake(data.length)) {
      this.socket.write(data);
      return;
    }
    if (data.length <= MAX_COPIED_BYTES) this.hold(data);
    else this.holdShared(data);
    this.flush();
  }

  /**
   * Sends a copy of an encoded reply in parts. They take turns with those of
   * other replies, and all other data is sent before them.
   */
  writeReply(id: number, reply: Buffer): void {
    if (this.isClosed) return;
    const parts = [...splitReply(id, reply)];
    this.dropReply(id);
    this.replies.set(id, parts);
    this.heldBytes += sizeOf(parts);
    this.flush();
  }

  /** Drops the parts of a reply that were not sent yet. */
  dropReply(id: number): void {
    const parts = this.replies.get(id);
    if (parts === undefined) return;
    this.replies.delete(id);
    this.heldBytes -= sizeOf(parts);
    parts.forEach(release);
  }

  /** Drops the data that waits. */
  close(): void {
    this.isClosed = true;
    this.heldBytes = 0;
    this.parts.splice(0).forEach(release);
    for (const parts of this.replies.values()) parts.forEach(release);
    this.replies.clear();
  }

  private canTake(bytes: number): boolean {
    const isFree = this.socket.writableLength < SOCKET_BYTES;
    return this.parts.length === 0 && isFree && bytes <= SOCKET_BYTES;
  }

  private hold(data: Buffer): void {
    if (this.isClosed) return;
    for (let rest = data; rest.length > 0;) {
      const part = this.partWithRoom();
      const copied = rest.copy(part.buffer, part.used);
      part.used += copied;
      rest = rest.subarray(copied);
    }
    this.heldBytes += data.length;
  }

  private holdShared(data: Buffer): void {
    if (this.isClosed) return;
    this.parts.push({buffer: data, used: data.length, isPooled: false});
    this.heldBytes += data.length;
  }

  private partWithRoom(): Part {
    const last = this.parts.at(-1);
    if (last?.isPooled && last.used < last.buffer.length) return last;
    const part = {buffer: sharedBlocks.takeSingle(), used: 0, isPooled: true};
    this.parts.push(part);
    return part;
  }

  private flush(): void {
    this.socket.cork();
    while (this.socket.writableLength < SOCKET_BYTES) {
      const part = this.parts.shift() ?? this.takeReplyPart();
      if (part === undefined) break;
      const {buffer, used} = part;
      this.heldBytes -= used;
      this.socket.write(buffer.subarray(0, used), () => release(part));
    }
    this.socket.uncork();
  }

  /** Takes a part of the next reply, whose turn then comes last. */
  private takeReplyPart(): Part | undefined {
    const [next] = this.replies;
    if (next === undefined) return undefined;
    const [id, parts] = next;
    const part = parts.shift();
    this.replies.delete(id);
    if (parts.length > 0) this.replies.set(id, parts);
    return part;
  }
}

/** Yields the frames of the parts of a reply, each in a block. */
function* splitReply(id: number, reply: Buffer): Generator<Part> {
  for (let rest = reply; rest.length > 0;) {
    const buffer = sharedBlocks.takeSingle();
    const copied = rest.copy(buffer, PART_PREFIX_BYTES);
    rest = rest.subarray(copied);
    writePartPrefix(buffer, {id, isLast: rest.length === 0}, copied);
    yield {buffer, used: PART_PREFIX_BYTES + copied, isPooled: true};
  }
}

function sizeOf(parts: readonly Part[]): number {
  return parts.reduce((sum, {used}) => sum + used, 0);
}

function release({buffer, isPooled}: Part): void {
  if (isPooled) sharedBlocks.give(buffer);
}
