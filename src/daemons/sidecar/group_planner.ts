import {setImmediate as nextTurn} from 'node:timers/promises';

import {LoadEstimator, Planner} from '../../expert_groups/index.js';
import type {
  ExpertMap,
  GroupMessage,
  GroupShape,
  Plan,
  PlannerPolicy,
} from '../../expert_groups/index.js';
import type {EngineLoads} from '../../clients/index.js';

type LoadMessage = Extract<GroupMessage, {type: 'group_load'}>;

/**
 * Encodes the token counts of an engine as a message.
 * @param group - name of the group
 * @param rank - number of the rank
 * @param loads - the token counts per layer
 */
export function encodeLoadMessage(
  group: string,
  rank: number,
  {fromStep, toStep, busyMs, tokens}: EngineLoads,
): LoadMessage {
  const packed = tokens.map(
    layer => new Uint8Array(Float32Array.from(layer).buffer),
  );
  const counts = {fromStep, toStep, busyMs, tokens: packed};
  return {type: 'group_load', group, rank, ...counts};
}

/** Estimates a group's loads at its coordinator and plans map switches. */
export class GroupPlanner {
  private readonly estimator: LoadEstimator;
  private isPlanning = false;
  /** The latest plan. */
  lastPlan: Plan | undefined;

  /**
   * @param shape - sizes of the group
   * @param policy - weights of the costs and benefits of a map switch
   */
  constructor(
    private readonly shape: GroupShape,
    private readonly policy: PlannerPolicy,
  ) {
    this.estimator = new LoadEstimator(shape);
  }

  /**
   * Adds the token counts of a rank.
   * @param message - the token counts
   */
  addLoads({rank, fromStep, toStep, busyMs, tokens}: LoadMessage): void {
    // Copies the bytes: in the frame they may not be aligned to four bytes.
    const unpacked = tokens.map(bytes =>
      Float64Array.from(new Float32Array(Uint8Array.from(bytes).buffer)),
    );
    this.estimator.add({rank, fromStep, toStep, busyMs, tokens: unpacked});
  }

  /**
   * Ends an interval and computes a plan, yielding to the event loop between
   * steps.
   * @param map - the map in use
   * @returns the plan, or undefined while another one is being computed
   */
  async plan(map: ExpertMap): Promise<Plan | undefined> {
    if (this.isPlanning) return undefined;
    this.isPlanning = true;
    try {
      this.estimator.closeInterval(map);
      const {loads, drift, confidence} = this.estimator;
      const copied = loads.map(layer => layer.slice());
      const input = {shape: this.shape, map, drift, confidence, loads: copied};
      const planning = new Planner(this.policy).plan(input);
      for (;;) {
        const {done, value} = planning.next();
        if (done) return (this.lastPlan = value);
        await nextTurn();
      }
    } finally {
      this.isPlanning = false;
    }
  }

  /** Returns this part of `/status`. */
  status(): object {
    const {lastPlan, estimator} = this;
    return {
      confidence: estimator.confidence,
      ignoredReports: estimator.ignoredReports,
      slowRanks: Object.fromEntries(estimator.slowRanks()),
      plan: lastPlan && {
        reason: lastPlan.reason,
        skewBefore: lastPlan.skewBefore,
        skewAfter: lastPlan.skewAfter,
        moves: lastPlan.moves.length,
        bytes: lastPlan.bytes,
      },
    };
  }
}
