import {isDeepStrictEqual} from 'node:util';

import type {ServiceName} from '../../../core/index.js';
import type {DirectConfiguration} from '../../../direct/index.js';
import type {Logger} from '../../../observability/index.js';
import {pacingOf} from '../../../pacing/index.js';
import type {PacingSettings} from '../../../pacing/index.js';

/** How the streams of each service are paced by the configuration in force. */
export class PacingDirectory {
  private settings = new Map<ServiceName, PacingSettings>();

  /** @param logger - logs changes */
  constructor(private readonly logger: Logger) {}

  /**
   * Applies a configuration. Settings that don't change remain the same object.
   * @param configuration - the configuration
   */
  apply(configuration: DirectConfiguration): void {
    const before = this.settings;
    this.settings = new Map();
    const names = configuration.services.map(({name}) => name);
    for (const name of new Set([...names, ...before.keys()])) {
      const known = before.get(name);
      const found = pacingOf(configuration, name);
      const isSame = isDeepStrictEqual(found, known);
      const settings = isSame ? known : found;
      if (settings !== undefined) this.settings.set(name, settings);
      if (isSame) continue;
      const gapTargetMs = settings?.gapTarget;
      const isPaced = settings !== undefined;
      const fields = {
        service: name,
        paced: isPaced,
        gap_target_ms: gapTargetMs,
      };
      this.logger.info('streams_paced', {...fields, ...settings?.engine});
    }
  }

  /**
   * Returns how the streams of a service are paced.
   * @param service - the service
   * @returns undefined if they are not
   */
  of(service: ServiceName): PacingSettings | undefined {
    return this.settings.get(service);
  }
}
