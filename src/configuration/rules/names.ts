import type {Draft} from '../draft.js';
import {suggestion} from './violation.js';
import type {Violation} from './violation.js';

/** Headers with a meaning of their own in proxying. */
const RESERVED_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'cookie',
  'expect',
  'host',
  'idempotency-key',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Reports each repeated value with the owner of its first occurrence. */
class DuplicateFinder {
  readonly found: Violation[] = [];
  private readonly first = new Map<string, string>();

  constructor(private readonly rule: string) {}

  add(
    value: string | undefined,
    owner: string,
    path: readonly PropertyKey[],
    label: string,
  ): void {
    if (value === undefined) return;
    const earlier = this.first.get(value);
    if (earlier === undefined) {
      this.first.set(value, owner);
      return;
    }
    const message = `${label} is already used by ${earlier}`;
    this.found.push({path, message, rule: this.rule});
  }
}

/**
 * Finds upstreams in undeclared availability zones.
 * @param draft - the text
 */
export function unknownZones({
  availabilityZones = [],
  services,
}: Draft): Violation[] {
  const zones = availabilityZones.filter(zone => zone !== undefined);
  const declared = new Set(zones);
  const found: Violation[] = [];
  for (const [name, service] of Object.entries(services)) {
    for (const zone of Object.keys(service?.upstreams ?? {})) {
      if (declared.has(zone)) continue;
      const hint = suggestion(zone, zones);
      found.push({
        path: ['services', name, 'upstreams', zone],
        message: `availability zone ${zone} is not declared${hint}`,
        rule: 'unknown-name',
        atKey: true,
      });
    }
  }
  return found;
}

/**
 * Finds duplicate zones, models and tokens.
 * @param draft - the text
 */
export function duplicateNames(draft: Draft): Violation[] {
  const zones = new DuplicateFinder('duplicate-name');
  draft.availabilityZones?.forEach((zone, index) =>
    zones.add(
      zone,
      `item ${index + 1}`,
      ['availabilityZones', index],
      `availability zone ${zone}`,
    ),
  );
  const models = new DuplicateFinder('duplicate-name');
  for (const [name, service] of Object.entries(draft.services)) {
    if (service?.kind !== 'model') continue;
    const {model = name} = service;
    const own = service.model === undefined ? [] : ['model'];
    const path = ['services', name, ...own];
    models.add(model, `service ${name}`, path, `model ${model}`);
  }
  const tokens = new DuplicateFinder('duplicate-token');
  for (const [name, organisation] of Object.entries(draft.organisations)) {
    organisation?.tokensSha256?.forEach((token, index) => {
      const path = ['organisations', name, 'tokensSha256', index];
      tokens.add(token, `organisation ${name}`, path, 'this token');
    });
  }
  return [...zones.found, ...models.found, ...tokens.found];
}

/**
 * Reports an organisation header that is reserved.
 * @param draft - the text
 */
export function reservedHeader({organisationHeader}: Draft): Violation[] {
  const header = organisationHeader?.toLowerCase() ?? '';
  const isReserved =
    RESERVED_HEADERS.has(header) || header.startsWith('baobabspan-');
  if (!isReserved) return [];
  const message = `the header ${organisationHeader} has another meaning`;
  return [{path: ['organisationHeader'], message, rule: 'reserved-name'}];
}
