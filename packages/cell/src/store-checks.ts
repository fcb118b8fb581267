/** Checks of store calls that peers ask for, and of their replies. */
import {
  isCount,
  isFlag,
  isList,
  isNumber,
  isObject,
  isOptional,
  isText,
  type Check,
} from './checks.js';
import type {StoreReply} from './messages.js';
import type {
  KeyedRecord,
  Producer,
  StoredRecord,
  StoreFailure,
} from './store.js';

const FAILURES: ReadonlySet<unknown> = new Set<StoreFailure | null>([
  null,
  'refused',
  'unknown',
  'conflict',
  'expired',
]);

const isBytes: Check = value => value instanceof Uint8Array;
const isInteger: Check = Number.isSafeInteger;

const isAppend = isObject({
  op: value => value === 'append',
  topic: isText,
  records: isList(isObject<KeyedRecord>({key: isText, value: isBytes})),
  at: isInteger,
  producer: value => value === null || isProducer(value),
});
const isProducer = isObject<Producer>({
  name: isText,
  epoch: isCount,
  sequence: isCount,
});
const isRead = isObject({
  op: value => value === 'read',
  topic: isText,
  from: isCount,
});
const isNewest = isObject({
  op: value => value === 'newest',
  topic: isText,
  after: isOptional(isText),
});

/** Whether a peer asks for a call that can be made. */
export const isStoreCall: Check = value =>
  isAppend(value) || isRead(value) || isNewest(value);

/** Whether a peer's reply tells how a call ended. */
export const isStoreReply = isObject<Omit<StoreReply, 'type'>>({
  failure: value => FAILURES.has(value),
  expectedSequence: isNumber,
  endOffset: isInteger,
  records: isList(
    isObject<StoredRecord>({key: isText, value: isBytes, offset: isCount}),
  ),
  hasMore: isOptional(isFlag),
});
