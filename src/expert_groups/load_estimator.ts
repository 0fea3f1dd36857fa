import type {GroupShape} from './expert_map.js';
import type {ExpertMap, Rank, Step} from './types.js';

/** EWMA weight of the previous load estimate, per interval. */
const LOAD_DECAY = 0.7;
/** EWMA weight of the previous compute time estimate, per report. */
const COMPUTE_TIME_DECAY = 0.8;
/** Compute time per token against the median above which a rank is slow. */
const MIN_SLOWDOWN = 1.3;
/** Reports needed before a rank can be considered slow. */
const MIN_REPORTS = 3;

/** Token counts and compute time of one rank over a range of steps. */
export interface RankLoadReport {
  readonly rank: Rank;
  /** Covered steps: after `fromStep`, up to and including `toStep`. */
  readonly fromStep: Step;
  readonly toStep: Step;
  /** Compute time in these steps, ms; excludes waiting. */
  readonly busyMs: number;
  /** Tokens of each slot, by layer. */
  readonly tokens: readonly Float64Array[];
}

interface ComputeTime {
  /** Smoothed compute time per token, ms. */
  value: number;
  reports: number;
}

/**
 * EWMA estimator of expert loads that tolerates missing reports and separates
 * slow ranks from ranks with popular experts.
 */
export class LoadEstimator {
  /** Smoothed tokens per step of each expert, by layer. */
  readonly loads: readonly Float64Array[];
  /** Share of the load that changes per interval, by layer. */
  readonly drift: number[];
  private readonly reports = new Map<Rank, RankLoadReport>();
  private readonly lastStep = new Map<Rank, Step>();
  private readonly computeTimes = new Map<Rank, ComputeTime>();
  private hasEstimates = false;
  private coverage = 0;

  /** Number of duplicate, outdated or invalid reports. */
  ignoredReports = 0;

  /** @param shape - dimensions of the group */
  constructor(private readonly shape: GroupShape) {
    const {layers, experts} = shape;
    this.loads = Array.from({length: layers}, () => new Float64Array(experts));
    this.drift = Array.from({length: layers}, () => 0);
  }

  /** Share of the ranks that recent estimates are based on, 0 to 1. */
  get confidence(): number {
    return this.coverage;
  }

  /**
   * Records a report; late ones count, duplicates are ignored.
   * @param report - the report
   */
  add(report: RankLoadReport): void {
    const {rank, fromStep, toStep} = report;
    const last = this.lastStep.get(rank) ?? -1;
    if (fromStep < last || toStep <= fromStep || rank >= this.shape.ranks) {
      this.ignoredReports += 1;
      return;
    }
    this.lastStep.set(rank, toStep);
    this.reports.set(rank, report);
    this.recordComputeTime(report);
  }

  /**
   * Ends an interval and merges its reports into the estimates.
   * @param map - the map that the reports refer to
   */
  closeInterval(map: ExpertMap): void {
    const share = this.reports.size / this.shape.ranks;
    if (this.reports.size > 0) {
      for (const layer of this.loads.keys()) this.updateLayer(map, layer);
      this.coverage = this.hasEstimates
        ? ewma(this.coverage, share, LOAD_DECAY)
        : share;
      this.hasEstimates = true;
    } else {
      this.coverage *= LOAD_DECAY;
    }
    this.reports.clear();
  }

  /** Returns the slow ranks with their slowdown factors. */
  slowRanks(): ReadonlyMap<Rank, number> {
    const values = [...this.computeTimes.values()].map(({value}) => value);
    const median = values.sort((a, b) => a - b)[Math.floor(values.length / 2)];
    const slow = new Map<Rank, number>();
    for (const [rank, {value, reports}] of this.computeTimes) {
      const ratio = value / (median ?? value);
      if (reports >= MIN_REPORTS && ratio > MIN_SLOWDOWN) slow.set(rank, ratio);
    }
    return slow;
  }

  private recordComputeTime({rank, busyMs, tokens}: RankLoadReport): void {
    let total = 0;
    for (const layer of tokens) for (const count of layer) total += count;
    if (total <= 0) return;
    const value = busyMs / total;
    const known = this.computeTimes.get(rank);
    if (known === undefined) {
      this.computeTimes.set(rank, {value, reports: 1});
      return;
    }
    known.value = ewma(known.value, value, COMPUTE_TIME_DECAY);
    known.reports += 1;
  }

  private updateLayer(map: ExpertMap, layer: number): void {
    const {slotsPerRank, experts} = this.shape;
    const placed = map.layers[layer]!;
    const sum = new Float64Array(experts);
    const reportCounts = new Uint16Array(experts);
    const replicas = new Uint16Array(experts);
    for (const [index, expert] of placed.entries()) {
      replicas[expert]! += 1;
      const rank = Math.floor(index / slotsPerRank);
      const report = this.reports.get(rank);
      if (report === undefined) continue;
      const steps = report.toStep - report.fromStep;
      const tokens = report.tokens[layer]?.[index % slotsPerRank] ?? 0;
      sum[expert]! += tokens / steps;
      reportCounts[expert]! += 1;
    }
    this.updateEstimates(layer, sum, reportCounts, replicas);
  }

  /** Updates estimates, assuming unreported replicas match the others. */
  private updateEstimates(
    layer: number,
    sum: Float64Array,
    reportCounts: Uint16Array,
    replicas: Uint16Array,
  ): void {
    const loads = this.loads[layer]!;
    let changed = 0;
    let total = 0;
    for (const expert of loads.keys()) {
      if (reportCounts[expert] === 0) continue;
      const seen = (sum[expert]! * replicas[expert]!) / reportCounts[expert]!;
      const before = loads[expert]!;
      changed += Math.abs(seen - before);
      total += seen + before;
      loads[expert] = this.hasEstimates ? ewma(before, seen, LOAD_DECAY) : seen;
    }
    if (!this.hasEstimates || total === 0) return;
    this.drift[layer] = ewma(this.drift[layer]!, changed / total, LOAD_DECAY);
  }
}

const ewma = (old: number, fresh: number, keep: number) =>
  keep * old + (1 - keep) * fresh;
