/** Keeps one connection to each peer, one task for each. */
import {SystemClock, type Clock} from '@dragonflyward/common';
import {
  connectPeer,
  type PeerConnection,
  type PeerHandler,
} from './connection.js';
import type {GatewayProtocol, PeerProtocol} from './messages.js';

const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 2_000;
const OPEN_CHECK_MS = 200;

/** Where a peer listens. */
export interface PeerAddress {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
}

interface PeerTask<P extends PeerProtocol> {
  readonly address: PeerAddress;
  isWanted: boolean;
  connection: PeerConnection<P> | undefined;
}

/** The outgoing connections of this process. */
export class PeerMesh<P extends PeerProtocol = GatewayProtocol> {
  private readonly tasks = new Map<string, PeerTask<P>>();

  constructor(
    private readonly handler: PeerHandler<P>,
    private readonly clock: Clock = new SystemClock(),
  ) {}

  /**
   * Sets the peers to be connected to; starts and ends tasks as needed.
   *
   * @example
   * mesh.setPeers(entries.map(toAddress));
   */
  setPeers(addresses: readonly PeerAddress[]): void {
    const wanted = new Set(addresses.map(keyOf));
    for (const [key, task] of this.tasks) {
      if (!wanted.has(key)) this.drop(key, task);
    }
    for (const address of addresses) this.add(address);
  }

  /** The open connection to a VM's process, where there is one. */
  connectionTo(vm: string): PeerConnection<P> | undefined {
    for (const task of this.tasks.values()) {
      if (task.address.vm !== vm) continue;
      const {connection} = task;
      if (connection?.isOpen && connection.info) return connection;
    }
    return undefined;
  }

  /** All open connections. */
  *connections(): Generator<PeerConnection<P>> {
    for (const {connection} of this.tasks.values()) {
      if (connection?.isOpen && connection.info) yield connection;
    }
  }

  /** Ends all connections. */
  close(): void {
    this.setPeers([]);
  }

  private add(address: PeerAddress): void {
    const key = keyOf(address);
    if (this.tasks.has(key)) return;
    const task: PeerTask<P> = {address, isWanted: true, connection: undefined};
    this.tasks.set(key, task);
    void this.keepConnected(task);
  }

  private drop(key: string, task: PeerTask<P>): void {
    task.isWanted = false;
    task.connection?.close();
    this.tasks.delete(key);
  }

  private async keepConnected(task: PeerTask<P>): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    while (task.isWanted) {
      try {
        const {ip, port} = task.address;
        task.connection = await connectPeer(ip, port, this.handler);
        delayMs = RECONNECT_MIN_MS;
        await this.whileOpen(task);
      } catch {
        delayMs = Math.min(RECONNECT_MAX_MS, delayMs * 2);
      }
      if (task.isWanted) await this.clock.sleep(delayMs);
    }
  }

  private async whileOpen(task: PeerTask<P>): Promise<void> {
    while (task.isWanted && task.connection?.isOpen) {
      await this.clock.sleep(OPEN_CHECK_MS);
    }
    task.connection?.close();
  }
}

function keyOf(address: PeerAddress): string {
  return `${address.vm}@${address.ip}:${address.port}`;
}
