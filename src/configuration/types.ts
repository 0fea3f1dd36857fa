import type {z} from 'zod';

import type {Offset, RecordId, Version} from '../core/index.js';
import type {configurationSchema, priority} from './schema.js';

/** A valid configuration. Durations are in ms, sizes in bytes. */
export type Configuration = z.output<typeof configurationSchema>;
/** One service of the configuration. */
export type Service =
  Configuration['services'][keyof Configuration['services']];
export type ModelService = Extract<Service, {kind: 'model'}>;
export type PlainService = Extract<Service, {kind: 'plain'}>;
/** One declared route of a plain service. */
export type Route = PlainService['routes'][number];
/** One organisation of the configuration. */
export type Organisation =
  Configuration['organisations'][keyof Configuration['organisations']];
export type Priority = z.output<typeof priority>;

/** A problem of a text and its position. */
export interface Finding {
  /** Line, from 1. */
  readonly line: number;
  /** Column, from 1. */
  readonly column: number;
  readonly message: string;
  /** Name of the rule that was broken. */
  readonly rule: string;
}

/** An operator's request to put a text in force. */
export interface Publication {
  readonly kind: 'publication';
  readonly id: RecordId;
  /** The version that the operator saw in force. */
  readonly base: Version;
  readonly author: string;
  readonly text: string;
}

/** Result of folding the records of the stream up to an offset. */
export interface FoldedState {
  readonly version: Version;
  readonly text: string;
  /** Who published that version. */
  readonly author: string;
  /** The publication that became that version. */
  readonly publicationId: RecordId;
  /** Greatest offset that the state includes; -1 before the first record. */
  readonly foldedTo: Offset;
}

/** A copy of the folded state that outlives the log's retention. */
export interface Checkpoint extends FoldedState {
  readonly kind: 'checkpoint';
  readonly id: RecordId;
}

/** Outcome of a publication. */
export type Verdict =
  | {readonly accepted: true; readonly version: Version}
  | {
      readonly accepted: false;
      readonly reason: 'stale_base' | 'invalid_text';
      readonly detail: string;
      /** The version in force instead. */
      readonly version: Version;
      /** Who published that version. */
      readonly author: string;
    };
