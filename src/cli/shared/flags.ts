import {z} from 'zod';

import {
  SECOND,
  availabilityZone,
  serviceName,
  vmName,
} from '../../core/index.js';
import {LOG_LEVELS} from '../../observability/index.js';

/** Setting that a flag or an environment variable of the same name gives. */
export interface Flag<T> {
  /** Name without the leading hyphens, in kebab case. */
  readonly name: string;
  /** Placeholder of the value in the help; undefined for a switch. */
  readonly value?: string;
  readonly description: string;
  readonly schema: z.ZodType<T>;
  /** Default value, as text. */
  readonly fallback?: string;
}

/** Flags of a command, by the names of its settings. */
export type Flags = Readonly<Record<string, Flag<unknown>>>;
/** Settings that are parsed from flags. */
export type SettingsOf<F extends Flags> = {
  readonly [K in keyof F]: F[K] extends Flag<infer T> ? T : never;
};

const MAX_PORT = 65_535;
const MAX_SECONDS = 86_400;
const MAX_VERSION = 1e9;

/** Number in decimal notation; "0x10" and an empty text are rejected. */
const digitsSchema = (pattern: RegExp, message: string, max: number) =>
  z
    .string()
    .regex(pattern, message)
    .transform(Number)
    .refine(n => n <= max, `must be at most ${max}`);
const wholeNumber = (max: number) =>
  digitsSchema(/^\d+$/, 'must be a whole number', max);

const port = wholeNumber(MAX_PORT);
const url = z.url({protocol: /^https?$/}).transform(u => u.replace(/\/$/, ''));
const seconds = digitsSchema(
  /^\d+(\.\d+)?$/,
  'must be a number of seconds',
  MAX_SECONDS,
).transform(s => s * SECOND);
const name = z.string().min(1).max(100);
const toggle = z.enum(['true', 'false']).transform(text => text === 'true');

const flag = <T>(definition: Flag<T>): Flag<T> => definition;

/** Flags that several commands share. */
export const SHARED_FLAGS = {
  vm: flag({
    name: 'vm',
    value: 'NAME',
    description: "Name of this VM in the platform's list",
    schema: name.transform(vmName),
  }),
  availabilityZone: flag({
    name: 'availability-zone',
    value: 'NAME',
    description: 'Availability zone of this VM',
    schema: name.transform(availabilityZone),
  }),
  host: flag({
    name: 'host',
    value: 'IP',
    description: 'IP address that the listeners use',
    schema: z.union([z.ipv4(), z.ipv6()]),
    fallback: '127.0.0.1',
  }),
  operatorPort: flag({
    name: 'operator-port',
    value: 'PORT',
    description: 'Port for operators; 0 picks a free one',
    schema: port,
    fallback: '0',
  }),
  linkPort: flag({
    name: 'link-port',
    value: 'PORT',
    description: 'Port for other processes of the system; 0 picks a free one',
    schema: port,
    fallback: '0',
  }),
  linkKey: flag({
    name: 'link-key',
    value: 'SECRET',
    description: 'Key that all processes of the estate share',
    schema: z.string().min(16, 'must have at least 16 characters'),
  }),
  logUrl: flag({
    name: 'log-url',
    value: 'URL',
    description: "Address of the platform's log",
    schema: url,
  }),
  vmListUrl: flag({
    name: 'vm-list-url',
    value: 'URL',
    description: "Address of the platform's VM list",
    schema: url,
  }),
  drainTimeout: flag({
    name: 'drain-timeout',
    value: 'SECONDS',
    description: 'How long a shutdown waits for calls that run',
    schema: seconds,
    fallback: '300',
  }),
  logLevel: flag({
    name: 'log-level',
    value: 'LEVEL',
    description: `Least level that is logged: ${LOG_LEVELS.join(', ')}`,
    schema: z.enum(LOG_LEVELS),
    fallback: 'info',
  }),
  json: flag({
    name: 'json',
    description: 'Print JSON',
    schema: toggle,
    fallback: 'false',
  }),
} as const;

/** Flags of single commands. */
export const COMMAND_FLAGS = {
  port: flag({
    name: 'port',
    value: 'PORT',
    description: 'Port for callers; 0 picks a free one',
    schema: port,
    fallback: '8080',
  }),
  service: flag({
    name: 'service',
    value: 'NAME',
    description: 'Service that the upstream is of',
    schema: name.transform(serviceName),
  }),
  upstreamUrl: flag({
    name: 'upstream-url',
    value: 'URL',
    description: 'Address of the upstream beside this sidecar',
    schema: url,
  }),
  group: flag({
    name: 'group',
    value: 'NAME',
    description: 'Group of ranks that the upstream is a rank of; none if empty',
    schema: z.string().max(100),
    fallback: '',
  }),
  rank: flag({
    name: 'rank',
    value: 'N',
    description: 'Number of the rank in its group, from 0',
    schema: z.coerce.number().int().min(0).max(1_023),
    fallback: '0',
  }),
  weightStoreUrl: flag({
    name: 'weight-store-url',
    value: 'URL',
    description: "Address of the platform's weight store, for a group",
    schema: url,
    fallback: 'http://127.0.0.1',
  }),
  planEvery: flag({
    name: 'plan-every',
    value: 'SECONDS',
    description: "Time between two plans of a group's expert map",
    schema: seconds,
    fallback: '60',
  }),
  base: flag({
    name: 'base',
    value: 'N',
    description: 'Version that the text was made from; 0 for the first',
    schema: wholeNumber(MAX_VERSION),
  }),
  author: flag({
    name: 'author',
    value: 'NAME',
    description: 'Who publishes',
    schema: name,
    fallback: 'operator',
  }),
  operatorUrl: flag({
    name: 'operator-url',
    value: 'URL',
    description: "Address of a daemon's operator listener",
    schema: url,
  }),
  once: flag({
    name: 'once',
    description: 'Print the outcomes and exit',
    schema: toggle,
    fallback: 'false',
  }),
} as const;
