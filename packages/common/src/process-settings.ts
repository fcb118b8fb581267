/** The settings that all programs on an entry VM share. */
import type {Place} from './topology.js';

/** The ports that each entry VM uses; the same on all of them. */
export interface PortSettings {
  /** Where gateways take callers' requests. */
  readonly gateway: number;
  readonly gatewayAdmin: number;
  /** Where schedulers take peers. */
  readonly scheduler: number;
  readonly schedulerAdmin: number;
}

/** How long things may take, in milliseconds. */
export interface TimingSettings {
  /** How long a proof of the right to act lasts. */
  readonly ownerLeaseMs: number;
  /** Owner silence after which a successor may claim. */
  readonly ownerSilenceMs: number;
  /** How long a task runs on without a renewal. */
  readonly taskLeaseMs: number;
  /** How often leases are renewed. */
  readonly renewPeriodMs: number;
  /** How old the applied configuration may be before a gateway refuses. */
  readonly configMaxAgeMs: number;
  /** How often the list of VMs is read. */
  readonly vmListPeriodMs: number;
  /** How long the balancer may go on sending after readiness fails. */
  readonly balancerDelayMs: number;
  /** The longest that a graceful shutdown may take. */
  readonly drainBoundMs: number;
}

/** This process's VM. */
export interface VmSettings extends Place {
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

function duration(defaultMs: number): object {
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
      ownerLeaseMs: duration(2_500),
      ownerSilenceMs: duration(1_500),
      taskLeaseMs: duration(20_000),
      renewPeriodMs: duration(3_000),
      configMaxAgeMs: duration(4_000),
      vmListPeriodMs: duration(1_000),
      balancerDelayMs: duration(2_000),
      drainBoundMs: duration(60_000),
    }),
    logLevel: {enum: ['debug', 'info', 'warn', 'error'], default: 'info'},
  },
} as const;
