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

/** Load counts of an engine since the previous query. */
export interface EngineLoads {
  readonly fromStep: number;
  readonly toStep: number;
  /** Time that the engine spent computing, ms. */
  readonly busyMs: number;
  /** Tokens by layer and slot. */
  readonly tokens: readonly (readonly number[])[];
}

/**
 * Client of the engine of one rank. The engine must offer:
 * - a state that reflects all orders executed so far;
 * - a named `hold` at a step that has not started; while it holds, it accepts
 *   another hold only as a replacement of the named one;
 * - a `release` that has no effect unless it names the current hold; if it
 *   arrives before the step of the hold, it is stored until then;
 * - orders for another incarnation of the engine are ignored;
 * - steps run only with the engines of its communicator, whose name changes
 *   when one of them is replaced;
 * - memory for the weights that a map switch loads beside those in use.
 * An engine that can only pause answers a hold with the step at which it
 * stopped; the switch is cancelled unless all ranks stopped at the same step.
 * An engine with neither retains the map that it started with.
 */
export abstract class RankEngineClient {
  /** Reads the engine's state, or returns an `engine_unreachable` fault. */
  abstract state(): ResultAsync<EngineState, Fault>;

  /**
   * Sends an order. After an error it may have been executed.
   * @param order - the order
   * @param engine - incarnation of the engine that the order is meant for
   * @param fence - fencing token, which an engine may ignore
   * @returns the state after the order
   */
  abstract order(
    order: EngineOrder,
    engine: string,
    fence: Term,
  ): ResultAsync<EngineState, Fault>;

  /**
   * Fetches the placement of an expert map that the engine stores.
   * @param version - version of the map
   */
  abstract map(version: MapVersion): ResultAsync<ExpertMap, Fault>;

  /**
   * Stores an expert map in the engine.
   * @param map - the map
   */
  abstract putMap(map: ExpertMap): ResultAsync<unknown, Fault>;

  /**
   * Reads how many bytes of an expert's weights the engine has, also if they
   * are only partly loaded.
   * @param load - layer and expert
   */
  abstract loadedBytes(load: ExpertWeights): ResultAsync<number, Fault>;

  /**
   * Sends a chunk of an expert's weights.
   * @param load - layer and expert
   * @param offset - first byte of the chunk
   * @param bytes - the chunk
   * @returns bytes that the engine has after it
   */
  abstract putWeights(
    load: ExpertWeights,
    offset: number,
    bytes: Uint8Array,
  ): ResultAsync<number, Fault>;

  /** Reads the load counts since the previous query. */
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

/** Rank engine client over HTTP. */
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
