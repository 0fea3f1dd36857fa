import type {PendingSwitch, RankAnswer} from './messages.js';
import type {MapVersion, Rank, RankIncarnation, Step} from './types.js';

type Report = Extract<RankAnswer, {type: 'group_report'}>;

/** A rank as it answered in the present term. */
export interface RankState {
  readonly incarnation: RankIncarnation;
  readonly communicator: string;
  readonly pending: PendingSwitch | null;
  map: MapVersion | null;
  step: Step;
}

/** The ranks of a group, as they answered in the present term. */
export class RankTable {
  private readonly ranks = new Map<Rank, RankState>();

  /** Forgets all answers. */
  clear(): void {
    this.ranks.clear();
  }

  /**
   * A rank that answered.
   * @param rank - its number
   */
  get(rank: Rank): RankState | undefined {
    return this.ranks.get(rank);
  }

  /**
   * Takes in a report; later ones of the same rank tell only its step.
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

  /** Whether the engines of all ranks step with one another. */
  get sharesCommunicator(): boolean {
    const sets = new Set([...this.ranks.values()].map(r => r.communicator));
    return sets.size <= 1;
  }

  /** The maps that any rank runs on or was told to run on. */
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
   * A change to a map whose step some rank still waited for.
   * @param wanted - the map
   */
  pendingSwitchTo(wanted: MapVersion): PendingSwitch | null {
    const waiting = [...this.ranks.values()].find(
      ({map, pending}) => map === wanted && pending !== null,
    );
    return waiting?.pending ?? null;
  }

  /**
   * Whether every rank has started a step.
   * @param step - the step
   */
  haveAllStarted(step: Step): boolean {
    return [...this.steps.values()].every(at => at >= step);
  }
}
