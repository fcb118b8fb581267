/** Maintains one outgoing connection to each peer. */
import {SystemClock, type Clock} from '@dragonflyward/common';
import {
  connectPeer,
  type PeerConnection,
  type PeerHandler,
} from './connection.js';
import type {GatewayProtocol, PeerProtocol} from './messages.js';

const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 2_000;
const OPEN_POLL_MS = 200;

/** The address at which a peer listens. */
export interface PeerAddress {
  readonly vm: string;
  readonly ip: string;
  readonly port: number;
}

interface ManagedPeer<P extends PeerProtocol> {
  readonly address: PeerAddress;
  isWanted: boolean;
  connection: PeerConnection<P> | undefined;
}

/** The outgoing connections of this process; reconnects lost ones. */
export class PeerMesh<P extends PeerProtocol = GatewayProtocol> {
  private readonly peers = new Map<string, ManagedPeer<P>>();

  constructor(
    private readonly handler: PeerHandler<P>,
    private readonly clock: Clock = new SystemClock(),
  ) {}

  /**
   * Sets the peers to connect to; connects new and disconnects removed ones.
   *
   * @example
   * mesh.setPeers(entries.map(toAddress));
   */
  setPeers(addresses: readonly PeerAddress[]): void {
    const wanted = new Set(addresses.map(keyOf));
    for (const [key, peer] of this.peers) {
      if (!wanted.has(key)) this.removePeer(key, peer);
    }
    for (const address of addresses) this.addPeer(address);
  }

  /** Returns the open connection to a VM's process, if there is one. */
  connectionTo(vm: string): PeerConnection<P> | undefined {
    for (const peer of this.peers.values()) {
      if (peer.address.vm !== vm) continue;
      const {connection} = peer;
      if (connection?.isOpen && connection.info) return connection;
    }
    return undefined;
  }

  /** Yields all open connections. */
  *connections(): Generator<PeerConnection<P>> {
    for (const {connection} of this.peers.values()) {
      if (connection?.isOpen && connection.info) yield connection;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.setPeers([]);
  }

  private addPeer(address: PeerAddress): void {
    const key = keyOf(address);
    if (this.peers.has(key)) return;
    const peer: ManagedPeer<P> = {
      address,
      isWanted: true,
      connection: undefined,
    };
    this.peers.set(key, peer);
    void this.keepConnected(peer);
  }

  private removePeer(key: string, peer: ManagedPeer<P>): void {
    peer.isWanted = false;
    peer.connection?.close();
    this.peers.delete(key);
  }

  private async keepConnected(peer: ManagedPeer<P>): Promise<void> {
    let delayMs = RECONNECT_MIN_MS;
    while (peer.isWanted) {
      try {
        const {ip, port} = peer.address;
        peer.connection = await connectPeer(ip, port, this.handler);
        delayMs = RECONNECT_MIN_MS;
        await this.waitUntilClosed(peer);
      } catch {
        delayMs = Math.min(RECONNECT_MAX_MS, delayMs * 2);
      }
      if (peer.isWanted) await this.clock.sleep(delayMs);
    }
  }

  private async waitUntilClosed(peer: ManagedPeer<P>): Promise<void> {
    while (peer.isWanted && peer.connection?.isOpen) {
      await this.clock.sleep(OPEN_POLL_MS);
    }
    peer.connection?.close();
  }
}

function keyOf(address: PeerAddress): string {
  return `${address.vm}@${address.ip}:${address.port}`;
}
