import {createHash, timingSafeEqual} from 'node:crypto';

import type {Configuration, Organisation} from '../configuration/index.js';
import type {OrganisationName} from '../core/index.js';

/** An organisation with its name. */
export interface NamedOrganisation {
  readonly name: OrganisationName;
  readonly organisation: Organisation;
}

/** Looks up the organisation of a request by bearer token or name. */
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
   * Returns the organisation of a bearer token. Compares every token, each in
   * constant time, so that the duration reveals nothing about a match.
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
   * Returns the organisation that a trusted header names.
   * @param name - the name
   */
  findByName(name: string): NamedOrganisation | undefined {
    const organisation = this.organisations.get(name as OrganisationName);
    if (organisation === undefined) return undefined;
    return {name: name as OrganisationName, organisation};
  }
}
