// The link of one VM to the store: all its connections share a bandwidth.
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';

const BYTES_PER_MS_AND_MBPS = 125;

export class Link {
  constructor(ip, port, mbps) {
    this.target = {host: ip, port};
    this.bytesPerMs = mbps * BYTES_PER_MS_AND_MBPS;
    this.up = {freeMs: 0};
    this.down = {freeMs: 0};
    this.server = net.createServer(client => this.accept(client));
  }

  listen(ip) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, ip, () => {
        this.address = `${ip}:${this.server.address().port}`;
        resolve();
      });
    });
  }

  accept(client) {
    const server = net.connect(this.target);
    this.forward(client, server, this.up);
    this.forward(server, client, this.down);
  }

  forward(from, to, direction) {
    from.setNoDelay(true);
    from.on('data', data => {
      const nowMs = performance.now();
      const beginMs = Math.max(direction.freeMs, nowMs);
      direction.freeMs = beginMs + data.length / this.bytesPerMs;
      from.pause();
      setTimeout(() => {
        if (!to.destroyed) to.write(data);
        from.resume();
      }, direction.freeMs - nowMs);
    });
    from.on('close', () => to.destroy());
    from.on('error', () => undefined);
  }
}
