// A TCP proxy on a loopback address that delays what it forwards, as the way
// between two regions does.
import net from 'node:net';
import {setTimeout} from 'node:timers';

export class Proxy {
  /** @param delayMs the delay each way */
  constructor(ip, port, delayMs) {
    this.target = {host: ip, port};
    this.delayMs = delayMs;
    this.sockets = new Set();
    this.server = net.createServer(client => this.accept(client));
  }

  listen(ip) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, ip, () => {
        this.ip = ip;
        this.port = this.server.address().port;
        resolve();
      });
    });
  }

  accept(client) {
    const server = net.connect(this.target);
    const forward = (from, to) => {
      this.sockets.add(from);
      from.setNoDelay(true);
      from.on('data', data => {
        const send = () => void (to.destroyed || to.write(data));
        setTimeout(send, this.delayMs);
      });
      from.on('close', () => {
        this.sockets.delete(from);
        setTimeout(() => to.destroy(), this.delayMs);
      });
      from.on('error', () => undefined);
    };
    forward(client, server);
    forward(server, client);
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
