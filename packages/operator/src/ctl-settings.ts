/** The settings of dragonflyward-ctl and dragonflyward-timeline. */
import {
  PROCESS_SETTINGS_SCHEMA,
  type PortSettings,
} from '@dragonflyward/common';

/** The settings that both programs share. */
export interface CtlSettings {
  readonly logUrl: string;
  readonly vmListUrl: string;
  /** The ports of the entry VMs. */
  readonly ports: PortSettings;
  /** The author that is recorded with a change. */
  readonly author: string;
  /** The gateway for job commands; empty for any gateway in the VM list. */
  readonly gatewayUrl: string;
  /** How long to wait until a change is in force everywhere. */
  readonly waitMs: number;
  /** Timeout of a request to one process. */
  readonly replyTimeoutMs: number;
}

const {logUrl, vmListUrl, ports} = PROCESS_SETTINGS_SCHEMA.properties;

/** The schema of `CtlSettings`. */
export const CTL_SETTINGS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['logUrl', 'vmListUrl'],
  properties: {
    logUrl,
    vmListUrl,
    ports,
    author: {type: 'string', default: ''},
    gatewayUrl: {type: 'string', pattern: '^(http://.*)?$', default: ''},
    waitMs: {type: 'integer', minimum: 0, default: 10_000},
    replyTimeoutMs: {type: 'integer', minimum: 1, default: 1_500},
  },
} as const;
