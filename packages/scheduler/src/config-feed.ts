/** Follows the configuration stream for a scheduler and its peers. */
import type {Clock, EventRing, Metrics} from '@dragonflyward/common';
import {StreamWriter, type LogClient} from '@dragonflyward/log';
import {
  fetchConfigTail,
  type ConfigTailReply,
  type PeerMesh,
} from '@dragonflyward/peer';
import {
  ConfigFollower,
  ConfigPeers,
  SnapshotTask,
  type ConfigState,
  type ConfigTail,
  type ListedPeer,
} from '@dragonflyward/state';
import type {Membership} from './membership.js';

/** Dependencies of the feed. */
export interface ConfigFeedParts {
  readonly log: LogClient;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
  readonly ownVm: string;
  readonly domain: string;
  readonly maxAgeMs: number;
  /** Whether this process may write snapshots of the stream now. */
  readonly isSnapshotAllowed: () => boolean;
}

class SchedulerConfigPeers extends ConfigPeers {
  constructor(private readonly parts: ConfigFeedParts) {
    super();
  }

  override listedPeers(): readonly ListedPeer[] | undefined {
    const {membership, ownVm} = this.parts;
    if (membership.listSentMs === undefined) return undefined;
    const others = [...membership.entryVms()].filter(vm => vm.id !== ownVm);
    return others.map(({id, domain}) => ({vm: id, domain}));
  }

  override requestTail(vm: string, from: number): Promise<ConfigTail> {
    return fetchConfigTail(this.parts.mesh, vm, from);
  }
}

/** Follows the configuration stream and serves it to peers. */
export class ConfigFeed {
  private readonly follower: ConfigFollower;
  private isRunning = false;

  constructor(private readonly parts: ConfigFeedParts) {
    const peers = new SchedulerConfigPeers(parts);
    this.follower = new ConfigFollower({...parts, peers});
  }

  get state(): ConfigState {
    return this.follower.state;
  }

  /** Starts to follow. */
  start(): void {
    this.isRunning = true;
    this.follower.start();
    void this.snapshotTask().run(() => this.isRunning);
  }

  /** Ends all loops. */
  stop(): void {
    this.isRunning = false;
    this.follower.stop();
  }

  /** Time since the end of the stream was last read from the log itself. */
  readAgeMs(): number {
    return this.follower.readAgeMs();
  }

  /** Answers a peer that has applied all records before the offset. */
  tailFrom(from: number): ConfigTailReply {
    return {type: 'configTail', ...this.follower.answer(from)};
  }

  private snapshotTask(): SnapshotTask {
    const {log, clock, events, isSnapshotAllowed: isAllowed} = this.parts;
    const {state, tail} = this.follower;
    const {stream} = tail;
    const writer = new StreamWriter({client: log, stream, tail, clock});
    return new SnapshotTask({state, tail, writer, clock, events, isAllowed});
  }
}
