import {createHash, timingSafeEqual} from 'node:crypto';

import type {Configuration, Organisation} from '../configuration/index.js';
import type {OrganisationName} from '../core/index.js';

/** An organisation with its name. */
export interface NamedOrganisation {
  readonly name: OrganisationName;
  readonly organisation: Organisation;
}

/** Tells which organisation a request is of. */
export class OrganisationDirectory {
  private readonly tokenDigests: (NamedOrganisation & {digest: Buffer})[] = [];
  private readonly organisations: Map<OrganisationName, Organisation>;

  /** @param cfg - the configuration in force */
  constructor(cfg: Configuration) {
    const entries = Object.entries(cfg.organisations);
    this.organisations = new Map(entries as [OrganisationName, Organisation][]);
    for (const [name, organisation] of this.organisations) {
      for (const hex of organisation.tokensSha256) {
        const digest = Buffer.from(hex, 'hex');
        this.tokenDigests.push({name, organisation, digest});
      }
    }
  }

  /**
   * The organisation that a bearer token belongs to. Every token is compared,
   * each in constant time, so that the time tells nothing of a match.
   * @param token - the token as the caller sent it
   */
  findByToken(token: string): NamedOrganisation | undefined {
    const digest = createHash('sha256').update(token).digest();
    let found: NamedOrganisation | undefined;
    for (const candidate of this.tokenDigests) {
      if (timingSafeEqual(candidate.digest, digest)) found = candidate;
    }
    return found;
  }

  /**
   * The organisation of a name that a trusted header gave.
   * @param name - the name
   */
  findByName(name: string): NamedOrganisation | undefined {
    const organisation = this.organisations.get(name as OrganisationName);
    if (organisation === undefined) return undefined;
    return {name: name as OrganisationName, organisation};
  }
}
