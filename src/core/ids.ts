/** Branded identifiers: the compiler rejects a plain string or number. */

declare const brand: unique symbol;

/** A `T` that only the matching function below can produce. */
export type Branded<T, Name extends string> = T & {readonly [brand]: Name};

/** Name of a service of the configuration. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of an organisation of the configuration. */
export type OrganisationName = Branded<string, 'OrganisationName'>;
/** Name of an availability zone. */
export type AvailabilityZone = Branded<string, 'AvailabilityZone'>;
/** Name of a VM in the platform's list. */
export type VmName = Branded<string, 'VmName'>;
/**
 * Identifier of one run of a process: `<vm>/<start time>-<random>`. A restarted
 * process, or another one at the same address, has another incarnation.
 */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Identifier of a call, unique across all entries and their restarts. */
export type CallId = Branded<string, 'CallId'>;
/** Version of the configuration: 0 before the first, then incremented by 1. */
export type Version = Branded<number, 'Version'>;
/** Offset of a record in the platform's log. */
export type Offset = Branded<number, 'Offset'>;
/**
 * Number of a life of the platform's store: it rises each time the store comes
 * back from an older copy, without the records that were written since.
 */
export type Era = Branded<number, 'Era'>;
/** Identifier of a log record, chosen by its writer. */
export type RecordId = Branded<string, 'RecordId'>;

/**
 * Brands a service name.
 * @param value - the plain name
 */
export const serviceName = (value: string) => value as ServiceName;
/**
 * Brands an organisation name.
 * @param value - the plain name
 */
export const organisationName = (value: string) => value as OrganisationName;
/**
 * Brands the name of an availability zone.
 * @param value - the plain name
 */
export const availabilityZone = (value: string) => value as AvailabilityZone;
/**
 * Brands the name of a VM.
 * @param value - the plain name
 */
export const vmName = (value: string) => value as VmName;
/**
 * Brands a call id.
 * @param value - the plain id
 */
export const callId = (value: string) => value as CallId;
/**
 * Brands a configuration version.
 * @param value - the plain number
 */
export const version = (value: number) => value as Version;
/**
 * Brands a log offset.
 * @param value - the plain number
 */
export const offset = (value: number) => value as Offset;
/**
 * Brands an era of the store.
 * @param value - the plain number
 */
export const era = (value: number) => value as Era;
/**
 * Brands the id of a log record.
 * @param value - the plain id
 */
export const recordId = (value: string) => value as RecordId;

/**
 * Creates the incarnation of a starting process.
 * @param vm - the VM that it runs on
 * @param startedAt - wall-clock time of the start, ms since 1970
 * @param random - text that distinguishes two starts in the same millisecond
 */
export function newIncarnation(
  vm: VmName,
  startedAt: number,
  random: string,
): Incarnation {
  return `${vm}/${startedAt.toString(36)}-${random}` as Incarnation;
}

/**
 * Brands an incarnation received over a link.
 * @param value - the plain text
 */
export const incarnation = (value: string) => value as Incarnation;
