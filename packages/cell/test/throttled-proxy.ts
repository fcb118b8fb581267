/** A TCP proxy whose received data takes the turns of a narrow link. */
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {pipeline} from 'node:stream';
import type {NarrowLink} from './narrow-link.js';

const LOOPBACK = '127.0.0.1';
/** The link bounds no transfer; its users do. */
const UNBOUNDED = {totalMs: Infinity, idleMs: Infinity};

/** Passes connections on; what the target sends takes the link. */
export class ThrottledProxy {
  private readonly sockets = new Set<net.Socket>();

  private constructor(private readonly server: net.Server) {}

  /** Returns a proxy that listens on a free port. */
  static async open(
    targetPort: number,
    link: NarrowLink,
  ): Promise<ThrottledProxy> {
    const server = net.createServer();
    const proxy = new ThrottledProxy(server);
    server.on('connection', client => {
      const target = net.connect(targetPort, LOOPBACK);
      for (const each of [client, target]) proxy.sockets.add(each);
      pipeline(client, target, () => client.destroy());
      const throttled = async function* (
        source: AsyncIterable<Buffer>,
      ): AsyncGenerator<Buffer> {
        for await (const chunk of source) {
          await link.carry(chunk.length, UNBOUNDED);
          yield chunk;
        }
      };
      pipeline(target, throttled, client, () => target.destroy());
    });
    server.listen(0, LOOPBACK);
    await once(server, 'listening');
    return proxy;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    for (const each of this.sockets) each.destroy();
  }
}
