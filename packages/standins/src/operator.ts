/** Publishes configuration and team keys directly to the log. */
import {createHash, randomBytes} from 'node:crypto';
import {newId} from '@dragonflyward/common';
import type {LogClient} from '@dragonflyward/log';
import {
  CONFIG_STREAM,
  RECORD_VERSION,
  type ConfigStreamRecord,
  type Configuration,
} from '@dragonflyward/state';

const AUTHOR = 'rig';
const SECRET_BYTES = 16;

/** A team key with its secret. */
export interface TeamKey {
  readonly keyId: string;
  readonly team: string;
  /** The bearer token for the authorization header. */
  readonly text: string;
}

/** Makes operators' changes for a rig, without the command line. */
export class RigOperator {
  constructor(private readonly log: LogClient) {}

  /**
   * Publishes a configuration that replaces the base revision.
   *
   * @returns its revision
   * @example
   * const revision = await operator.publish(configuration, -1);
   */
  publish(configuration: Configuration, base: number): Promise<number> {
    return this.append({
      v: RECORD_VERSION,
      type: 'config',
      base,
      author: AUTHOR,
      reason: 'rig',
      configuration,
    });
  }

  /** Creates a team key and grants it. */
  async grant(team: string): Promise<TeamKey> {
    const keyId = newId('k');
    const secret = randomBytes(SECRET_BYTES).toString('hex');
    const digest = createHash('sha256').update(secret).digest('hex');
    const key = {keyId, team, digest};
    const type = 'keyGranted';
    await this.append({v: RECORD_VERSION, type, author: AUTHOR, key});
    return {keyId, team, text: `${keyId}.${secret}`};
  }

  async withdraw({keyId}: TeamKey): Promise<void> {
    const type = 'keyWithdrawn';
    const reason = 'rig';
    await this.append({
      v: RECORD_VERSION,
      type,
      author: AUTHOR,
      keyId,
      reason,
    });
  }

  private async append(data: ConfigStreamRecord): Promise<number> {
    const records = [{id: newId('r'), data}];
    return (await this.log.append(CONFIG_STREAM, records)).offset;
  }
}
