import type {PendingSwitch, RankAnswer} from './messages.js';
import type {MapVersion, Rank, RankIncarnation, Step} from './types.js';

type Report = Extract<RankAnswer, {type: 'group_report'}>;

/** State of a rank as reported in the current term. */
export interface RankState {
  readonly incarnation: RankIncarnation;
  readonly communicator: string;
  readonly pending: PendingSwitch | null;
  map: MapVersion | null;
  step: Step;
}

/** Table of the ranks of a group, as reported in the current term. */
export class RankTable {
  private readonly ranks = new Map<Rank, RankState>();

  /** Removes all ranks. */
  clear(): void {
    this.ranks.clear();
  }

  /**
   * Returns the state of a rank that has reported.
   * @param rank - index of the rank
   */
  get(rank: Rank): RankState | undefined {
    return this.ranks.get(rank);
  }

  /**
   * Records a report; later ones of the same rank update only its step.
   * @param report - the report
   */
  record(report: Report): void {
    const {rank, incarnation, communicator, pending, map, step} = report;
    const known = this.ranks.get(rank);
    if (known === undefined) {
      this.ranks.set(rank, {incarnation, communicator, pending, map, step});
    } else {
      known.step = Math.max(known.step, step);
    }
  }

  /** Whether the engines of all ranks share one communicator. */
  get sharesCommunicator(): boolean {
    const sets = new Set([...this.ranks.values()].map(r => r.communicator));
    return sets.size <= 1;
  }

  /** Maps that any rank uses or has been ordered to use. */
  get maps(): ReadonlySet<MapVersion> {
    const all = [...this.ranks.values()].map(({map}) => map);
    return new Set(all.filter(map => map !== null));
  }

  /** Latest step by rank. */
  get steps(): ReadonlyMap<Rank, Step> {
    return new Map([...this.ranks].map(([rank, {step}]) => [rank, step]));
  }

  /** Latest step of any rank. */
  get lastStep(): Step {
    return Math.max(0, ...this.steps.values());
  }

  /**
   * Returns a switch to a map whose step some rank has not reached.
   * @param wanted - target map of the switch
   */
  pendingSwitchTo(wanted: MapVersion): PendingSwitch | null {
    const waiting = [...this.ranks.values()].find(
      ({map, pending}) => map === wanted && pending !== null,
    );
    return waiting?.pending ?? null;
  }

  /**
   * Returns whether every rank has started a step.
   * @param step - the step
   */
  haveAllStarted(step: Step): boolean {
    return [...this.steps.values()].every(at => at >= step);
  }
}
