import type {Millis, OrganisationName, ServiceName} from '../../core/index.js';
import type {HeaderLines, RequestMetadata, Route} from '../../direct/index.js';

/** A request that passed authorization and routing. */
export interface AdmittedRequest {
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: ServiceName;
  readonly organisation: OrganisationName | undefined;
  readonly priority: number;
  readonly headers: HeaderLines;
  readonly body: Buffer;
  readonly arrivedAt: Millis;
  /** Version of the configuration that admitted it. */
  readonly version: number;
}
