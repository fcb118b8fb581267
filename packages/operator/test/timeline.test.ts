import {
  compareHybridTimes,
  EventRing,
  HybridClock,
  ManualClock,
  type TimelineEvent,
} from '@dragonflyward/common';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {AdminReply} from '../src/fleet.js';
import {findOwnershipSpans} from '../src/ownership-spans.js';
import {EventCollector} from '../src/timeline-events.js';
import {filterTimeline} from '../src/timeline-filter.js';
import {renderTimelinePage} from '../src/timeline-html.js';

const PROCESSES = ['scheduler@a', 'scheduler@b', 'gateway@a'] as const;

interface Ring {
  readonly clock: ManualClock;
  readonly events: EventRing;
}

function makeRing(name: string, skewMs: number): Ring {
  const clock = new ManualClock(1_000 + skewMs);
  return {clock, events: new EventRing(name, new HybridClock(clock))};
}

function replyOf(events: EventRing): AdminReply {
  const process = {
    name: events.process,
    role: 'unknown' as const,
    vm: 'a',
    domain: '',
    ip: '',
    port: 1,
    isLeaving: false,
  };
  const body = {dropped: 0, events: [...events.list()]};
  return {process, body, failure: ''};
}

const timeline = suite('time line');

timeline('orders an event before the events that it causes', () => {
  const step = fc.record({
    from: fc.nat({max: 2}),
    to: fc.nat({max: 2}),
    waitMs: fc.nat({max: 3}),
  });
  const skews = fc.array(fc.integer({min: -500, max: 500}), {
    minLength: 3,
    maxLength: 3,
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 40}), skews, (steps, skew) => {
      const rings = PROCESSES.map((name, i) => makeRing(name, skew[i] ?? 0));
      steps.forEach(({from, to, waitMs}, i) => {
        const [sender, receiver] = [rings[from], rings[to]];
        if (sender === undefined || receiver === undefined) return;
        void sender.clock.advance(waitMs);
        sender.events.add('jobAccepted', {job: `${i}`});
        receiver.events.hybridClock.observe(sender.events.hybridClock.tick());
        receiver.events.add('taskStarted', {job: `${i}`});
      });
      const collector = new EventCollector();
      collector.addReplies(
        rings.map(({events}) => replyOf(events)),
        0,
      );
      collector.addReplies(
        rings.map(({events}) => replyOf(events)),
        0,
      );
      const {events} = collector.timeline();
      assert.is(events.length, 2 * steps.length);
      steps.forEach((_, i) => {
        const [first, second] = events.filter(e => e.subject.job === `${i}`);
        assert.is(first?.kind, 'jobAccepted');
        assert.is(second?.kind, 'taskStarted');
      });
      const sorted = [...events].sort((a, b) => compareHybridTimes(a.at, b.at));
      assert.equal(sorted, events);
    }),
  );
});

function event(
  process: string,
  wallMs: number,
  kind: TimelineEvent['kind'],
  subject: TimelineEvent['subject'],
): TimelineEvent {
  return {at: {wallMs, count: 0}, process, kind, subject, note: '<&"'};
}

const TAKEOVER: readonly TimelineEvent[] = [
  event('s@a', 10, 'ownerActive', {shard: 'n', term: 1}),
  event('s@a', 20, 'taskStarted', {task: 'n:j.0.1', team: 'roofs'}),
  event('s@b', 90, 'ownerActive', {shard: 'n', term: 2}),
  event('s@b', 95, 'ownerStopped', {shard: 'n', term: 2}),
];

timeline(
  'ends the span of an unresponsive owner when another becomes active',
  () => {
    const [first, second] = findOwnershipSpans(TAKEOVER);
    assert.is(first?.toMs, 90);
    assert.is(first?.isEndReported, false);
    assert.is(second?.toMs, 95);
    assert.is(second?.isEndReported, true);
  },
);

timeline("picks a job's events by its tasks", () => {
  const all = {rings: [], events: TAKEOVER};
  assert.is(filterTimeline(all, {job: 'n:j'}).events.length, 1);
  assert.is(filterTimeline(all, {job: 'n'}).events.length, 0);
  assert.is(filterTimeline(all, {shard: 'n', sinceMs: 90}).events.length, 2);
});

timeline('records the period in which a process did not answer', () => {
  const {events} = makeRing('s@a', 0);
  events.add('processStarted', {});
  const reply = replyOf(events);
  const unanswered = {...reply, body: undefined, failure: 'refused'};
  const collector = new EventCollector();
  const replies = [reply, unanswered, unanswered, reply];
  replies.forEach((each, i) => {
    collector.addReplies([each], i * 100);
  });
  const [ring] = collector.timeline().rings;
  assert.equal(ring?.silences, [{fromMs: 100, toMs: 300}]);
  assert.is(ring?.failure, '');
});

timeline('writes a page without outside resources or raw text', () => {
  const rings = ['s@a', 's@b'].map(process => ({
    process,
    events: 2,
    dropped: 0,
    failure: process === 's@a' ? 'connection refused' : '',
    silences: [{fromMs: 30, toMs: process === 's@a' ? null : 40}],
  }));
  const page = [...renderTimelinePage({rings, events: TAKEOVER}, '<b>')].join(
    '\n',
  );
  assert.not.match(page, /(src|href)="(?!#)/);
  assert.not.match(page, /<&"|<b>/);
  assert.match(page, /connection refused/);
  assert.is(page.match(/<tr id=/g)?.length, TAKEOVER.length);
});

timeline.run();
