/** The settings shared by all programs on an entry VM. */
import type {VmLocation} from './topology.js';

/** Ports of the programs on an entry VM; the same on all entry VMs. */
export interface PortSettings {
  /** Gateways accept callers' requests here. */
  readonly gateway: number;
  readonly gatewayAdmin: number;
  /** Schedulers accept peer connections here. */
  readonly scheduler: number;
  readonly schedulerAdmin: number;
}

/** Leases, timeouts and periods, in milliseconds. */
export interface TimingSettings {
  /** How long an owner may act after the last proof that its term is valid. */
  readonly ownerLeaseMs: number;
  /** How long an owner may be silent before a successor may claim its shard. */
  readonly ownerSilenceMs: number;
  /** How long a task keeps running without a lease renewal. */
  readonly taskLeaseMs: number;
  /** How often leases are renewed. */
  readonly renewPeriodMs: number;
  /** Age of the applied configuration above which a gateway refuses work. */
  readonly configMaxAgeMs: number;
  /** How often the list of VMs is fetched. */
  readonly vmListPeriodMs: number;
  /** How long the load balancer may keep sending after readiness fails. */
  readonly balancerDelayMs: number;
  /** Maximum duration of a graceful shutdown. */
  readonly drainBoundMs: number;
}

/** This process's VM. */
export interface VmSettings extends VmLocation {
  readonly id: string;
  readonly ip: string;
}

/** The settings of a gateway or a scheduler. */
export interface ProcessSettings {
  readonly vm: VmSettings;
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly ports: PortSettings;
  readonly timing: TimingSettings;
  readonly logLevel: string;
}

const PORT = {type: 'integer', minimum: 1, maximum: 65_535} as const;
const NAME = {type: 'string', minLength: 1} as const;
const URL_TEXT = {type: 'string', pattern: '^http://'} as const;

function portWithDefault(port: number): object {
  return {...PORT, default: port};
}

function durationWithDefault(defaultMs: number): object {
  return {type: 'integer', minimum: 1, default: defaultMs};
}

function section(properties: Readonly<Record<string, object>>): object {
  return {
    type: 'object',
    additionalProperties: false,
    default: {},
    properties,
  };
}

/** The schema of the settings of a gateway or a scheduler. */
export const PROCESS_SETTINGS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['vm', 'logUrl', 'vmListUrl'],
  properties: {
    vm: {
      type: 'object',
      additionalProperties: false,
      required: ['id', 'ip', 'region', 'domain'],
      properties: {
        id: NAME,
        ip: {type: 'string', pattern: '^[0-9a-f.:]+$'},
        region: NAME,
        domain: NAME,
        rack: {...NAME, default: 'none'},
      },
    },
    logUrl: URL_TEXT,
    vmListUrl: URL_TEXT,
    ports: section({
      gateway: portWithDefault(8080),
      gatewayAdmin: portWithDefault(8081),
      scheduler: portWithDefault(8090),
      schedulerAdmin: portWithDefault(8091),
    }),
    timing: section({
      ownerLeaseMs: durationWithDefault(2_500),
      ownerSilenceMs: durationWithDefault(1_500),
      taskLeaseMs: durationWithDefault(20_000),
      renewPeriodMs: durationWithDefault(3_000),
      configMaxAgeMs: durationWithDefault(4_000),
      vmListPeriodMs: durationWithDefault(1_000),
      balancerDelayMs: durationWithDefault(2_000),
      drainBoundMs: durationWithDefault(60_000),
    }),
    logLevel: {enum: ['debug', 'info', 'warn', 'error'], default: 'info'},
  },
} as const;
