import {z} from 'zod';

import {incarnation} from '../core/index.js';

/** Number of an expert map of one group; 0 is the map it started with. */
export const mapVersion = z.int().nonnegative();
export type MapVersion = z.output<typeof mapVersion>;

/** Number that a group's coordinator has above all earlier ones. */
export const term = z.int().nonnegative();
export type Term = z.output<typeof term>;

/** Number of a step that all ranks of a group run together. */
export const step = z.int().nonnegative();
export type Step = z.output<typeof step>;

/** Number of a rank in its group, from 0. */
export const rank = z.int().nonnegative().max(1_023);
export type Rank = z.output<typeof rank>;

/** Name of a group. */
export const groupName = z.string().min(1).max(100);

/** One life of one rank: its sidecar, its engine and whom that steps with. */
export const rankIncarnation = z
  .string()
  .min(1)
  .max(400)
  .transform(incarnation);
export type RankIncarnation = z.output<typeof rankIncarnation>;

/** Stands in a slot that holds no expert. */
export const EMPTY_SLOT = 0xffff;

/**
 * Where the experts are: for each layer and rank the expert of each slot.
 * `layers[l][rank * slotsPerRank + slot]` is a number of an expert.
 */
export interface ExpertMap {
  readonly version: MapVersion;
  readonly slotsPerRank: number;
  readonly layers: readonly Uint16Array[];
}

/** A named stop of a rank's engine. */
export interface Hold {
  /** Names the stop; only the same name releases it. */
  readonly token: string;
  /** The step that the engine does not start. */
  readonly step: Step;
}

/** What a rank's engine says of itself. */
export interface EngineState {
  /** One life of the engine process. */
  readonly engine: string;
  /**
   * Names the set of engines that it steps with. The name changes whenever an
   * engine of the set is replaced; engines of two sets never share a step.
   */
  readonly communicator: string;
  /** The map in use; null when it has been given none. */
  readonly map: MapVersion | null;
  /** Latest step that it started. */
  readonly step: Step;
  readonly hold: Hold | null;
  /** The map that it changes to when that step comes. */
  readonly next: {readonly map: MapVersion; readonly step: Step} | null;
  /** Maps whose weights are all loaded. */
  readonly staged: readonly MapVersion[];
}

/** An order to a rank's engine. */
export type EngineOrder =
  | {readonly kind: 'stage'; readonly map: MapVersion}
  | {
      readonly kind: 'hold';
      readonly token: string;
      readonly step: Step;
      /** The hold that this one takes the place of. */
      readonly replaces: string | null;
    }
  | {
      readonly kind: 'release';
      readonly token: string;
      readonly map: MapVersion;
    }
  | {
      readonly kind: 'assign';
      readonly map: MapVersion;
      /** A change that was decided and whose step has not come. */
      readonly next: EngineState['next'];
    };
