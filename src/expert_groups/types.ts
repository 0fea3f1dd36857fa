import {z} from 'zod';

import {incarnation} from '../core/index.js';

/** Version of an expert map of one group; 0 is the initial map. */
export const mapVersion = z.int().nonnegative();
export type MapVersion = z.output<typeof mapVersion>;

/** Term of a coordinator, higher than all earlier ones of its group. */
export const term = z.int().nonnegative();
export type Term = z.output<typeof term>;

/** Index of a step that all ranks of a group run in lock-step. */
export const step = z.int().nonnegative();
export type Step = z.output<typeof step>;

/** Index of a rank in its group, from 0. */
export const rank = z.int().nonnegative().max(1_023);
export type Rank = z.output<typeof rank>;

/** Name of a group. */
export const groupName = z.string().min(1).max(100);

/** Incarnation of a rank: its sidecar, engine and communicator. */
export const rankIncarnation = z
  .string()
  .min(1)
  .max(400)
  .transform(incarnation);
export type RankIncarnation = z.output<typeof rankIncarnation>;

/** Marks a slot without an expert. */
export const EMPTY_SLOT = 0xffff;

/**
 * Expert placement: the expert of each slot, by layer and rank.
 * `layers[l][rank * slotsPerRank + slot]` is the index of an expert.
 */
export interface ExpertMap {
  readonly version: MapVersion;
  readonly slotsPerRank: number;
  readonly layers: readonly Uint16Array[];
}

/** A stop of a rank's engine before a step, identified by a token. */
export interface Hold {
  /** Identifies the hold; only the same token releases it. */
  readonly token: string;
  /** The step that the engine must not start. */
  readonly step: Step;
}

/** State reported by a rank's engine. */
export interface EngineState {
  /** Incarnation of the engine process. */
  readonly engine: string;
  /**
   * Identifies the set of engines that run steps together. It changes whenever
   * an engine of the set is replaced; different sets never share a step.
   */
  readonly communicator: string;
  /** The map in use; null when none has been assigned. */
  readonly map: MapVersion | null;
  /** Latest started step. */
  readonly step: Step;
  readonly hold: Hold | null;
  /** The map that takes effect at the given step. */
  readonly next: {readonly map: MapVersion; readonly step: Step} | null;
  /** Maps whose weights are fully loaded. */
  readonly staged: readonly MapVersion[];
}

/** An order to a rank's engine. */
export type EngineOrder =
  | {readonly kind: 'stage'; readonly map: MapVersion}
  | {
      readonly kind: 'hold';
      readonly token: string;
      readonly step: Step;
      /** Token of the hold that this one replaces. */
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
      /** A decided switch whose step has not been reached. */
      readonly next: EngineState['next'];
    };
