import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';

import type {Millis} from '../core/index.js';
import type {Fault} from '../errors/index.js';
import {asFault} from '../errors/index.js';
import {listedVm} from '../membership/index.js';
import type {ListedVm} from '../membership/index.js';
import {MAX_PAGE_BYTES, readBounded} from './bounded_body.js';

/** A copy of the list. */
export interface VmListing {
  readonly vms: readonly ListedVm[];
  /** Why VMs of the list were left out, one reason for each. */
  readonly rejected: readonly string[];
}

/** Client of the platform's list of live and leaving VMs, which may lag. */
export abstract class VmListClient {
  /** Fetches the list, or returns a `log_unavailable` fault. */
  abstract fetch(): ResultAsync<VmListing, Fault>;
}

const list = z.object({vms: z.array(z.unknown())});
const ANSWER_TIMEOUT: Millis = 5_000;

/** VM list client over HTTP. */
export class HttpVmListClient extends VmListClient {
  /** @param url - address of the VM list service */
  constructor(private readonly url: string) {
    super();
  }

  fetch(): ResultAsync<VmListing, Fault> {
    const answer = request(`${this.url}/vms`, {
      signal: AbortSignal.timeout(ANSWER_TIMEOUT),
    }).then(async res => {
      const bytes = await readBounded(res.body, MAX_PAGE_BYTES);
      return readVms(list.parse(JSON.parse(bytes.toString('utf8'))).vms);
    });
    return ResultAsync.fromPromise(answer, thrown =>
      asFault(thrown, 'log_unavailable'),
    );
  }
}

/** Leaves out the VMs that cannot be read, so that the others are followed. */
function readVms(listed: readonly unknown[]): VmListing {
  const vms: ListedVm[] = [];
  const rejected: string[] = [];
  for (const one of listed) {
    const parsed = listedVm.safeParse(one);
    if (parsed.success) vms.push(parsed.data);
    else rejected.push(z.prettifyError(parsed.error));
  }
  return {vms, rejected};
}
