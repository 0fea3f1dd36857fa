import type {Millis, ServiceName} from '../core/index.js';
import {SECOND} from '../core/index.js';
import type {DirectConfiguration, EngineProfile} from '../direct/index.js';

/**
 * Passes of full ranks that take longer than this part of the gap target need a
 * limit on streams: the most loaded rank had 1.6 to 2 times the mean load, which
 * makes passes that much longer than the engine's figures say.
 */
const PACED_PART = 0.55;

/** Load of the most loaded rank over the mean that is assumed for a fair share. */
const USUAL_IMBALANCE = 1.8;

/** A group is paced by these figures. */
export interface PacingSettings {
  readonly engine: EngineProfile;
  /** Longest gap with which the streams of all routes are in time. */
  readonly gapTarget: Millis;
}

/** Length of a pass without running streams, while prompts are read. */
export function idlePass(engine: EngineProfile): Millis {
  const {stepsPerPass, stepTime, promptChunk, promptTokensPerSecond} = engine;
  return (
    stepsPerPass * stepTime + (promptChunk * SECOND) / promptTokensPerSecond
  );
}

/** Time by which one more stream at the most loaded rank lengthens a pass. */
export function passTimePerStream(engine: EngineProfile): Millis {
  const {stepsPerPass, stepTimePerStream, stepTimePerContextToken} = engine;
  const context = engine.usualPromptTokens + engine.usualAnswerTokens / 2;
  return stepsPerPass * (stepTimePerStream + stepTimePerContextToken * context);
}

/** Length of a pass in which each rank runs as many streams as it has slots. */
export function fullPass(engine: EngineProfile): Millis {
  return idlePass(engine) + engine.slots * passTimePerStream(engine);
}

/**
 * Returns whether the streams of a group are limited by the length of its passes.
 * @param engine - the engine's figures
 * @param gapTarget - gap target of its streams
 */
export function needsPacing(engine: EngineProfile, gapTarget: Millis): boolean {
  // With passes that are too long without any stream, no limit helps.
  if (idlePass(engine) >= gapTarget) return false;
  return fullPass(engine) > PACED_PART * gapTarget;
}

/**
 * Returns the figures by which the streams of a service are paced.
 * @param configuration - the operators' configuration
 * @param service - the service
 * @returns undefined if they are not paced
 */
export function pacingOf(
  {routes, services}: DirectConfiguration,
  service: ServiceName,
): PacingSettings | undefined {
  const engine = services.find(({name}) => name === service)?.engine;
  const gapTargets = routes
    .filter(({targets}) => targets.some(target => target.service === service))
    .flatMap(({gapTarget}) => gapTarget ?? []);
  const gapTarget = gapTargets.length > 0 ? Math.min(...gapTargets) : undefined;
  if (engine === undefined || gapTarget === undefined) return undefined;
  return needsPacing(engine, gapTarget) ? {engine, gapTarget} : undefined;
}

/**
 * Returns an entry's equal share of the streams with which passes are as long as
 * wanted. It is a starting point: the usual imbalance is an assumption.
 * @param engine - the engine's figures
 * @param length - the wanted length
 * @param ranks - number of ranks of the group
 * @param entries - number of entries
 */
export function fairShare(
  engine: EngineProfile,
  length: Millis,
  ranks: number,
  entries: number,
): number {
  const room = Math.max(0, length - idlePass(engine));
  const perRank = room / passTimePerStream(engine) / USUAL_IMBALANCE;
  return (ranks * Math.min(engine.slots, perRank)) / Math.max(1, entries);
}
