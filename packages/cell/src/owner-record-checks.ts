/** Checks of what other writers tell of owners, in records and notices. */
import {decode} from 'cbor-x';
import {
  isCount,
  isFlag,
  isList,
  isNumber,
  isObject,
  isOptional,
  isPositive,
  isText,
  type Check,
} from './checks.js';
import type {FormerOwner} from './former-owners.js';
import type {LastOrders, NamedOrders, OrdersNotice} from './last-orders.js';
import type {CellHeartbeat, HandoverNotice} from './messages.js';
import type {OwnerAddress, OwnerRecord} from './ownership.js';

/** Terms above it could not be counted on. */
const MAX_TERM = 2 ** 52;

const isTerm: Check = value =>
  isPositive(value) && (value as number) <= MAX_TERM;
const isName: Check = value => isText(value) && value !== '';

const isFormerOwner = isObject<FormerOwner>({
  vm: isText,
  incarnation: isNumber,
  startMs: isNumber,
  actMs: isNumber,
  heldIds: isOptional(isList(isText)),
});

const ORDERS_CHECKS = {
  agoMs: isNumber,
  runs: isOptional(isList(isText)),
};
const isLastOrders = isObject<LastOrders>(ORDERS_CHECKS);
const isNamedOrders = isObject<NamedOrders>({...ORDERS_CHECKS, id: isText});

const isOrders = isObject<OrdersNotice>({
  executors: isList(isNamedOrders),
  others: isLastOrders,
});

const ADDRESS_CHECKS = {
  vm: isName,
  ip: isText,
  port: isCount,
  incarnation: isNumber,
};
const isAddress = isObject<OwnerAddress>(ADDRESS_CHECKS);

const isOwnerRecord = isObject<OwnerRecord>({
  ...ADDRESS_CHECKS,
  term: isTerm,
  isReleased: isFlag,
  areFormerStopped: isOptional(isFlag),
  formerOwners: isOptional(isList(isFormerOwner)),
  orders: isOptional(isOrders),
  heldOrders: isOptional(isList(isNamedOrders)),
  heldOthers: isOptional(isLastOrders),
});

const isNotice = isObject<Omit<HandoverNotice, 'type'>>({
  term: isTerm,
  areFormerStopped: isFlag,
  formerOwners: isOptional(isList(isFormerOwner)),
  orders: isOptional(isOrders),
  endOffset: isCount,
});

const isBeat = isObject<Omit<CellHeartbeat, 'type'>>({
  owner: value => value === null || isAddress(value),
  term: value => value === 0 || isTerm(value),
  configVersion: isNumber,
  isStoreOk: isFlag,
  storeMs: isOptional(isNumber),
  isDraining: isFlag,
  isOwnerSeen: isFlag,
  hasLoadFailed: isOptional(isFlag),
  isActing: isOptional(isFlag),
  storedEndOffset: isOptional(isCount),
});

/**
 * Whether all fields of a heartbeat can be used.
 *
 * @example
 * if (!isHeartbeat(heartbeat)) return raise('badRequest', 'not a heartbeat');
 */
export function isHeartbeat(heartbeat: CellHeartbeat): boolean {
  return isBeat(heartbeat);
}

/**
 * Whether all fields of a handover notice can be used.
 *
 * @example
 * if (!isHandover(notice)) return;
 */
export function isHandover(notice: HandoverNotice): boolean {
  return isNotice(notice);
}

/**
 * Whether the record was not whole, so that its owner is not known.
 *
 * @example
 * if (isOfUnknownOwner(record)) return false;
 */
export function isOfUnknownOwner({vm}: OwnerRecord): boolean {
  return vm === '';
}

/**
 * Decodes the record of an owner. One that is not whole counts as that of an
 * unknown owner that may act and has told nothing.
 *
 * @param endOffset the end of the owner topic after it
 * @example
 * const record = decodeOwner(value, endOffset);
 */
export function decodeOwner(value: Uint8Array, endOffset: number): OwnerRecord {
  const decoded = tryDecode(value);
  if (isOwnerRecord(decoded)) return decoded as OwnerRecord;
  const {term} = (decoded ?? {}) as {readonly term?: unknown};
  const readTerm = isTerm(term) ? (term as number) : 0;
  return {
    vm: '',
    ip: '',
    port: 0,
    incarnation: 0,
    // Each term begins with an append, so none is above the end of the topic.
    term: Math.max(readTerm, endOffset),
    isReleased: false,
  };
}

function tryDecode(value: Uint8Array): unknown {
  try {
    return decode(value as Buffer);
  } catch {
    return null;
  }
}
