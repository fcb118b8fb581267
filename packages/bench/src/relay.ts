/**
 * Measures the request path: throughput, added latency, goodput under overload
 * and traffic between regions.
 */
import {RelayCell, type RelayCall} from './relay-cell.js';
import {
  runClosedLoop,
  runOpenLoops,
  roundToHundredths,
  type LoadResult,
  type NextCall,
} from './relay-load.js';

const EXECUTORS = 6;
const SLOTS = 8;
const WARM_UP_MS = 3_000;
const PEAK_MS = 5_000;
const HALF_LOAD_MS = 8_000;
const OVERLOAD_MS = 8_000;
const CONCURRENT_REQUESTS = 32;
const WORK_MS = 50;
const DEADLINE_MS = 1_000;
const OVERLOAD_FACTOR = 2;
const CROSS_REGION_REQUESTS = 500;
const CROSS_REGION_BODY_BYTES = 1_024;
const MS_PER_SECOND = 1_000;

type Print = (line: string) => void;

/** Results of the request path with one number of gateways. */
interface RelayFigures {
  readonly gateways: number;
  readonly direct: LoadResult;
  readonly peak: LoadResult;
  readonly ordersPeak: LoadResult;
  readonly directHalf: LoadResult;
  readonly relayedHalf: LoadResult;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
}

/** Results at twice the peak rate that the executors reached. */
interface OverloadFigures {
  readonly peakPerSecond: number;
  readonly offeredPerSecond: number;
  readonly goodputPerSecond: number;
  readonly keptPercent: number;
  readonly refused: number;
  readonly p99Ms: number;
}

/**
 * Runs the benchmark of the request path with separate processes.
 *
 * @example
 * const figures = await benchRelay(line => console.log(line));
 */
export async function benchRelay(
  print: Print,
): Promise<Readonly<Record<string, unknown>>> {
  const one = await withCell(1, cell => measureRelay(cell, 1, print));
  const three = await withCell(3, cell => measureRelay(cell, 3, print));
  const overload = await withCell(3, cell => measureOverload(cell, print));
  const crossRegion = await measureCrossRegion(print);
  return {one, three, overload, crossRegion};
}

async function withCell<T>(
  gateways: number,
  measure: (cell: RelayCell) => Promise<T>,
): Promise<T> {
  const cell = new RelayCell({
    domains: ['north-1'],
    entriesPerDomain: gateways,
    executors: EXECUTORS,
  });
  try {
    await cell.start();
    return await measure(cell);
  } finally {
    await cell.stop();
  }
}

function roundRobin(
  urls: readonly string[],
  rest: Omit<RelayCall, 'url'>,
): NextCall {
  return nth => ({...rest, url: urls[nth % urls.length] ?? ''});
}

async function measureRelay(
  cell: RelayCell,
  gateways: number,
  print: Print,
): Promise<RelayFigures> {
  const quote = {body: '{"echo":1}', isIdempotent: true, deadlineMs: 5_000};
  const order = {...quote, isIdempotent: false};
  const direct = roundRobin(cell.executorUrls(), quote);
  const relayed = roundRobin(cell.gatewayUrls(), quote);
  const orders = roundRobin(cell.gatewayUrls(), order);
  await runClosedLoop(cell, relayed, CONCURRENT_REQUESTS, WARM_UP_MS);
  const directPeak = await runClosedLoop(
    cell,
    direct,
    CONCURRENT_REQUESTS,
    PEAK_MS,
  );
  const peak = await runClosedLoop(cell, relayed, CONCURRENT_REQUESTS, PEAK_MS);
  const ordersPeak = await runClosedLoop(
    cell,
    orders,
    CONCURRENT_REQUESTS,
    PEAK_MS,
  );
  const halfPeak = peak.perSecond / 2;
  const loads = [direct, relayed];
  const halfLoads = await runOpenLoops(cell, loads, halfPeak, HALF_LOAD_MS);
  const [directHalf = directPeak, relayedHalf = peak] = halfLoads;
  const addedP50Ms = roundToHundredths(relayedHalf.p50Ms - directHalf.p50Ms);
  const addedP99Ms = roundToHundredths(relayedHalf.p99Ms - directHalf.p99Ms);
  print(`${gateways} gateway(s): peak ${peak.perSecond} requests/s`);
  print(`  orders with their own ids: ${ordersPeak.perSecond} requests/s`);
  print(`  direct to executors: ${directPeak.perSecond} requests/s`);
  print(`  half load: p50 +${addedP50Ms} ms, p99 +${addedP99Ms} ms`);
  const latencies = {directHalf, relayedHalf, addedP50Ms, addedP99Ms};
  return {gateways, direct: directPeak, peak, ordersPeak, ...latencies};
}

async function measureOverload(
  cell: RelayCell,
  print: Print,
): Promise<OverloadFigures> {
  const work = {
    body: JSON.stringify({sleepMs: WORK_MS, echo: 1}),
    isIdempotent: true,
    deadlineMs: DEADLINE_MS,
  };
  const next = roundRobin(cell.gatewayUrls(), work);
  const slots = EXECUTORS * SLOTS;
  await runClosedLoop(cell, next, slots, WARM_UP_MS);
  const peak = await runClosedLoop(cell, next, 3 * slots, PEAK_MS);
  const offered = OVERLOAD_FACTOR * peak.perSecond;
  const [overload = peak] = await runOpenLoops(
    cell,
    [next],
    offered,
    OVERLOAD_MS,
  );
  const keptPercent = roundToHundredths(
    (100 * overload.perSecond) / peak.perSecond,
  );
  const ceiling = (slots * MS_PER_SECOND) / WORK_MS;
  print(`overload: peak ${peak.perSecond}/s (slots allow ${ceiling}/s)`);
  print(
    `  ${roundToHundredths(offered)}/s offered: ${overload.perSecond}/s in time`,
  );
  print(`  goodput kept: ${keptPercent} %, ${overload.failed} refused`);
  return {
    peakPerSecond: peak.perSecond,
    offeredPerSecond: roundToHundredths(offered),
    goodputPerSecond: overload.perSecond,
    keptPercent,
    refused: overload.failed,
    p99Ms: overload.p99Ms,
  };
}

/** Compares a gateway in the only executor's region with one outside. */
async function measureCrossRegion(
  print: Print,
): Promise<Readonly<Record<string, number>>> {
  const domains = ['north-1', 'south-1'];
  const cell = new RelayCell({domains, entriesPerDomain: 1, executors: 1});
  try {
    await cell.start();
    const padding = 'x'.repeat(CROSS_REGION_BODY_BYTES);
    const body = JSON.stringify({echo: padding});
    const call = {body, isIdempotent: true, deadlineMs: 5_000};
    const [north, south] = cell.gatewayUrls();
    const inside = await crossRegionBytes(
      cell,
      roundRobin([north ?? ''], call),
    );
    const outside = await crossRegionBytes(
      cell,
      roundRobin([south ?? ''], call),
    );
    print(
      `cross-region bytes per request: ${inside} in region, ${outside} outside`,
    );
    return {inRegionBytes: inside, outOfRegionBytes: outside};
  } finally {
    await cell.stop();
  }
}

async function crossRegionBytes(
  cell: RelayCell,
  next: NextCall,
): Promise<number> {
  const before = await cell.counter('cross_region_bytes_total');
  for (let i = 0; i < CROSS_REGION_REQUESTS; i += 1) await cell.send(next(i));
  const after = await cell.counter('cross_region_bytes_total');
  return roundToHundredths((after - before) / CROSS_REGION_REQUESTS);
}
