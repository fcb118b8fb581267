/**
 * Random requests, closes, gateway disconnections and takeovers: the running
 * requests never exceed the slots of executors or the allowances of teams.
 */
import {ManualClock} from '@dragonflyward/common';
import {promiseTest} from '@dragonflyward/common/promise-test';
import type {OpenTicket, Ticket, TicketUse} from '@dragonflyward/peer';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TicketIssuer} from '../src/ticket-issuer.js';
import {
  IssuerHarness,
  executor,
  gateway,
  MAX_WAITING,
  SLOTS,
} from './issuer-harness.js';

const SEED = 20261204;
const RUNS = 60;
const GATEWAYS = 9;
const EXECUTORS = ['e-0', 'e-1'];
const TEAMS = ['huts', 'roofs'];
const ALLOWANCE = 9;

/** A request that an executor works on. */
interface Running {
  readonly ticket: Ticket;
  readonly team: string;
  readonly from: number;
  readonly endMs: number;
}

type Step =
  | {
      readonly kind: 'ask';
      readonly from: number;
      readonly team: number;
      readonly count: number;
    }
  | {readonly kind: 'close'; readonly at: number; readonly use: TicketUse}
  | {readonly kind: 'wait'; readonly ms: number}
  | {readonly kind: 'disconnect'; readonly from: number}
  | {readonly kind: 'reconnect'; readonly from: number}
  | {readonly kind: 'takeover'};

const anyGateway = fc.nat(GATEWAYS - 1);
const anyUse = fc.constantFrom<TicketUse>(
  'done',
  'notSent',
  'failed',
  'unknown',
  'abandoned',
);
const anyAsk = fc.record({
  kind: fc.constant('ask' as const),
  from: anyGateway,
  team: fc.nat(TEAMS.length - 1),
  count: fc.integer({min: 1, max: 6}),
});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {weight: 12, arbitrary: anyAsk},
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('close' as const),
      at: fc.nat(100),
      use: anyUse,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.integer({min: 1, max: 4_000}),
    }),
  },
  fc.record({kind: fc.constant('disconnect' as const), from: anyGateway}),
  fc.record({kind: fc.constant('reconnect' as const), from: anyGateway}),
  fc.record({kind: fc.constant('takeover' as const)}),
);

/** An issuer that ignores at a takeover what gateways may still hold. */
class ForgetfulIssuer extends TicketIssuer {
  override ask(
    ...[from, ask]: Parameters<TicketIssuer['ask']>
  ): Promise<Ticket> {
    return super.ask(from, ask, 1);
  }
}

type IssuerMaker = ConstructorParameters<typeof IssuerHarness>[2];

/** The gateways' open tickets and the requests that executors run. */
class SimulatedGateways {
  private harness: IssuerHarness;
  private term = 1;
  private running: Running[] = [];
  private readonly disconnected = new Set<number>();
  private readonly seen = new Set<string>();

  constructor(
    private readonly clock: ManualClock,
    private readonly makeIssuer: IssuerMaker,
  ) {
    this.harness = this.newHarness();
  }

  async step(step: Step): Promise<void> {
    if (step.kind === 'ask') this.ask(step.from, step.team, step.count);
    if (step.kind === 'close') this.close(step.at, step.use);
    if (step.kind === 'wait') await this.clock.advance(step.ms);
    if (step.kind === 'disconnect') this.disconnected.add(step.from);
    if (step.kind === 'reconnect') this.reconnect(step.from);
    if (step.kind === 'takeover') this.takeOver();
    await this.harness.settle();
    this.collect();
  }

  check(): void {
    for (const id of EXECUTORS) {
      const used = this.running.filter(run => run.ticket.executorId === id);
      assert.ok(used.length <= SLOTS, `${id} runs ${used.length}`);
    }
    for (const team of TEAMS) {
      const used = this.running.filter(run => run.team === team);
      assert.ok(used.length <= ALLOWANCE, `${team} runs ${used.length}`);
    }
    const waiting = this.harness.issuer.waiting();
    const sum = waiting.reduce((all, {slots}) => all + slots, 0);
    assert.ok(sum <= MAX_WAITING, `${sum} wait`);
  }

  private newHarness(): IssuerHarness {
    const made = new IssuerHarness(this.clock, this.term, this.makeIssuer);
    made.issuer.setExecutors(EXECUTORS.map(id => executor(id)));
    made.issuer.setGatewayCount(GATEWAYS);
    for (const team of TEAMS) made.issuer.setAllowance(team, ALLOWANCE);
    return made;
  }

  private ask(from: number, team: number, count: number): void {
    if (this.disconnected.has(from)) return;
    for (let i = 0; i < count; i += 1) {
      this.harness.ask(TEAMS[team] ?? '', gateway(`vm-${from}`));
    }
  }

  /** Runs each issued ticket until the end of its time. */
  private collect(): void {
    const nowMs = this.clock.monotonicMs();
    for (const {ticket, team, gateway: from} of this.harness.asks) {
      if (ticket === undefined) continue;
      const isKnown = this.running.some(run => run.ticket === ticket);
      if (isKnown || this.seen.has(ticket.ticketId)) continue;
      this.seen.add(ticket.ticketId);
      const index = Number(from.vm.slice('vm-'.length));
      const endMs = nowMs + ticket.runByMs;
      this.running.push({ticket, team, from: index, endMs});
    }
    this.running = this.running.filter(({endMs}) => endMs > nowMs);
  }

  private close(at: number, use: TicketUse): void {
    const open = this.running.filter(({from}) => !this.disconnected.has(from));
    const run = open[at % Math.max(1, open.length)];
    if (run === undefined) return;
    const {ticketId, shard, executorId} = run.ticket;
    const from = gateway(`vm-${run.from}`);
    const isDraining = false;
    const close = {ticketId, shard, executorId, use, isDraining};
    this.harness.issuer.close(from, {type: 'ticketClose', ...close});
    if (use === 'unknown' || use === 'abandoned') return;
    this.running = this.running.filter(other => other !== run);
  }

  private takeOver(): void {
    this.harness.issuer.stop();
    this.term += 1;
    this.harness = this.newHarness();
    for (let from = 0; from < GATEWAYS; from += 1) this.reportTickets(from);
  }

  private reconnect(from: number): void {
    if (!this.disconnected.delete(from)) return;
    this.reportTickets(from);
  }

  private reportTickets(from: number): void {
    if (this.disconnected.has(from)) return;
    const nowMs = this.clock.monotonicMs();
    const tickets: OpenTicket[] = this.running
      .filter(run => run.from === from)
      .map(({ticket, team, endMs}) => ({
        ticketId: ticket.ticketId,
        executorId: ticket.executorId,
        team,
        runByMs: endMs - nowMs,
      }));
    this.harness.issuer.adoptTickets(gateway(`vm-${from}`), tickets);
  }
}

function checkSteps(makeIssuer?: IssuerMaker): Promise<void> {
  const steps = fc.array(anyStep, {minLength: 20, maxLength: 120});
  const property = fc.asyncProperty(steps, async list => {
    const gateways = new SimulatedGateways(new ManualClock(), makeIssuer);
    for (const step of list) {
      await gateways.step(step);
      gateways.check();
    }
  });
  return fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
  });
}

const limits = suite('ticket limits');

promiseTest(limits, 'team-limit', 'hold through takeovers', async () => {
  await checkSteps();
});

limits('break where silent gateways are not counted', async () => {
  const forgetful: IssuerMaker = options => new ForgetfulIssuer(options);
  let message = '';
  await checkSteps(forgetful).catch((err: unknown) => (message = String(err)));
  assert.match(message, / runs /);
});

limits.run();
