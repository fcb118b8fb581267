/** Reads a shard's state, including its owner, from the log. */
import type {LogClient} from '@dragonflyward/log';
import {ShardState, shardStream} from '@dragonflyward/state';

const PAGE_RECORDS = 1_000;

/**
 * Replays a shard's whole stream.
 *
 * @example
 * const {owner, term} = await readShard(rig.log, 'north-1');
 */
export async function readShard(
  log: LogClient,
  shard: string,
): Promise<ShardState> {
  const state = new ShardState();
  const stream = shardStream(shard);
  for (;;) {
    const options = {maxRecords: PAGE_RECORDS, waitMs: 0};
    const page = await log.read(stream, state.nextOffset, options);
    if (page.first > state.nextOffset) state.skipTo(page.first);
    for (const record of page.records) state.apply(record);
    if (state.nextOffset >= page.end) return state;
  }
}
