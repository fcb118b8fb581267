/** Starts and ends the child processes of a rig; signals no others. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {raise} from '@dragonflyward/common';

const MAX_OUTPUT_CHARS = 20_000;

class Child {
  output = '';

  constructor(readonly process: ChildProcess) {
    const appendOutput = (chunk: Buffer): void => {
      const text = this.output + chunk.toString();
      this.output = text.slice(-MAX_OUTPUT_CHARS);
    };
    process.stdout?.on('data', appendOutput);
    process.stderr?.on('data', appendOutput);
  }

  get isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }
}

/** Child processes by name; all are killed when this process exits. */
export class ProcessSet {
  private readonly children = new Map<string, Child>();
  private readonly killAllAtExit = (): void => {
    this.killAll();
  };

  constructor() {
    process.once('exit', this.killAllAtExit);
  }

  /**
   * Starts a Node.js program under a name that no running process has.
   *
   * @example
   * processes.start('log', 'dist/src/log-main.js', ['--port', '7000']);
   */
  start(name: string, script: string, args: readonly string[]): void {
    if (this.isRunning(name)) raise('badRequest', `${name} already runs`);
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.children.set(name, new Child(child));
  }

  isRunning(name: string): boolean {
    return this.children.get(name)?.isRunning ?? false;
  }

  /** The last output of a process, for failure reports. */
  output(name: string): string {
    return this.findChild(name).output;
  }

  pid(name: string): number {
    return this.findChild(name).process.pid ?? 0;
  }

  signal(name: string, signal: NodeJS.Signals): void {
    const child = this.findChild(name);
    if (child.isRunning) child.process.kill(signal);
  }

  /** Kills a process and waits until it has exited. */
  async kill(name: string): Promise<void> {
    this.signal(name, 'SIGKILL');
    await this.waitForExit(name);
  }

  /**
   * Waits until a process has exited.
   *
   * @returns its exit code, or -1 if a signal ended it
   */
  async waitForExit(name: string): Promise<number> {
    const child = this.findChild(name);
    if (child.isRunning) await once(child.process, 'exit');
    return child.process.exitCode ?? -1;
  }

  /** Kills all processes and waits until they have exited. */
  async stopAll(): Promise<void> {
    this.killAll();
    await Promise.all(
      [...this.children.keys()].map(name => this.waitForExit(name)),
    );
    process.off('exit', this.killAllAtExit);
  }

  private killAll(): void {
    for (const child of this.children.values()) {
      if (child.isRunning) child.process.kill('SIGKILL');
    }
  }

  private findChild(name: string): Child {
    return this.children.get(name) ?? raise('badRequest', `no process ${name}`);
  }
}
