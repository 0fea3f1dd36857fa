import type {ResultAsync} from 'neverthrow';
import {z} from 'zod';

import {SECOND} from '../core/index.js';
import type {Millis} from '../core/index.js';
import type {Fault} from '../errors/index.js';
import {mapVersion, step} from '../expert_groups/index.js';
import type {
  EngineOrder,
  EngineState,
  ExpertMap,
  ExpertWeights,
  MapVersion,
  Term,
} from '../expert_groups/index.js';
import {requestJson} from './http_json.js';

/** What the engine counted since it was asked last. */
export interface EngineLoads {
  readonly fromStep: number;
  readonly toStep: number;
  /** Time that it computed, ms. */
  readonly busyMs: number;
  /** For each layer the tokens of each of its slots. */
  readonly tokens: readonly (readonly number[])[];
}

/**
 * The engine of one rank. What it must offer:
 * - a state that is read after all orders that it has obeyed;
 * - `hold` with a name at a step that it has not started; no second hold while
 *   it has one, other than in the place of the one named;
 * - `release` that does nothing without the name of the present hold, and is
 *   kept until the step of the hold when it comes before it;
 * - orders that name another life of the engine are ignored;
 * - steps only with the engines of its communicator, whose name changes when
 *   one of them is replaced;
 * - room for the weights that a change loads beside those in use.
 * An engine that can only pause answers a hold with the step at which it
 * stopped; the change is cancelled unless all ranks stopped at the same one.
 * An engine with neither keeps the map that it started with.
 */
export abstract class RankEngineClient {
  /** Reads the engine's state; `engine_unreachable`. */
  abstract state(): ResultAsync<EngineState, Fault>;

  /**
   * Gives an order. After an error it may have been obeyed.
   * @param order - the order
   * @param engine - the life of the engine that it is meant for
   * @param fence - fencing number, which an engine may ignore
   * @returns the state after it
   */
  abstract order(
    order: EngineOrder,
    engine: string,
    fence: Term,
  ): ResultAsync<EngineState, Fault>;

  /**
   * Fetches the placement of a map that the engine knows.
   * @param version - the map
   */
  abstract map(version: MapVersion): ResultAsync<ExpertMap, Fault>;

  /**
   * Makes a placement known to the engine.
   * @param map - the map
   */
  abstract putMap(map: ExpertMap): ResultAsync<unknown, Fault>;

  /**
   * Bytes of an expert's weights that the engine has, loaded or in part.
   * @param load - layer and expert
   */
  abstract loadedBytes(load: ExpertWeights): ResultAsync<number, Fault>;

  /**
   * Hands over a piece of an expert's weights.
   * @param load - layer and expert
   * @param offset - where the piece starts
   * @param bytes - the piece
   * @returns bytes that the engine has now
   */
  abstract putWeights(
    load: ExpertWeights,
    offset: number,
    bytes: Uint8Array,
  ): ResultAsync<number, Fault>;

  /** Counts since the last call. */
  abstract loads(): ResultAsync<EngineLoads, Fault>;
}

const engineState = z.object({
  engine: z.string().max(100),
  communicator: z.string().max(100),
  map: mapVersion.nullable(),
  step,
  hold: z.object({token: z.string().max(500), step}).nullable(),
  next: z.object({map: mapVersion, step}).nullable(),
  staged: z.array(mapVersion),
});
const placement = z
  .object({
    version: mapVersion,
    slotsPerRank: z.int().positive(),
    layers: z.array(z.array(z.int().nonnegative())),
  })
  .transform(map => ({
    ...map,
    layers: map.layers.map(layer => Uint16Array.from(layer)),
  }));
const engineLoads = z.object({
  fromStep: step,
  toStep: step,
  busyMs: z.number().nonnegative(),
  tokens: z.array(z.array(z.number().nonnegative())),
});
const byteCount = z
  .object({have: z.int().nonnegative()})
  .transform(a => a.have);

const ANSWER_TIMEOUT: Millis = 2 * SECOND;
const failure = 'engine_unreachable';

/** A rank's engine over HTTP. */
export class HttpRankEngineClient extends RankEngineClient {
  /** @param url - address of the engine */
  constructor(private readonly url: string) {
    super();
  }

  state(): ResultAsync<EngineState, Fault> {
    return this.get('/rank/state', engineState);
  }

  order(
    order: EngineOrder,
    engine: string,
    fence: Term,
  ): ResultAsync<EngineState, Fault> {
    return this.post('/rank/orders', {order, engine, fence}, engineState);
  }

  map(version: MapVersion): ResultAsync<ExpertMap, Fault> {
    return this.get(`/rank/maps/${version}`, placement);
  }

  putMap(map: ExpertMap): ResultAsync<unknown, Fault> {
    const layers = map.layers.map(layer => [...layer]);
    return this.post('/rank/maps', {...map, layers}, z.unknown());
  }

  loadedBytes({layer, expert}: ExpertWeights): ResultAsync<number, Fault> {
    return this.get(`/rank/weights/${layer}/${expert}`, byteCount);
  }

  putWeights(
    {layer, expert}: ExpertWeights,
    offset: number,
    bytes: Uint8Array,
  ): ResultAsync<number, Fault> {
    const path = `/rank/weights/${layer}/${expert}?offset=${offset}`;
    return this.post(path, bytes, byteCount);
  }

  loads(): ResultAsync<EngineLoads, Fault> {
    return this.get('/rank/loads', engineLoads);
  }

  private get<T extends z.ZodType>(path: string, schema: T) {
    const url = this.url + path;
    return requestJson({url, schema, failure, timeout: ANSWER_TIMEOUT});
  }

  private post<T extends z.ZodType>(path: string, body: unknown, schema: T) {
    const url = this.url + path;
    const method = 'POST';
    const timeout = ANSWER_TIMEOUT;
    return requestJson({url, method, body, schema, failure, timeout});
  }
}
