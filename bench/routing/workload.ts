import type {Priority} from '../../src/configuration/index.js';
import type {Chance, Millis} from '../../src/core/index.js';
import {organisationName} from '../../src/core/index.js';
import type {OrganisationName} from '../../src/core/index.js';

/** Request of the workload. */
export interface Arrival {
  readonly organisation: OrganisationName;
  readonly weight: number;
  readonly priority: Priority;
  readonly prefix: readonly number[];
  readonly tokens: number;
  readonly deadline: Millis;
}

/** Shape of the requests of a deployment. */
export interface WorkloadShape {
  readonly name: string;
  readonly organisations: number;
  /** Length range of the instructions that prompts start with, blocks. */
  readonly instructionBlocks: readonly [number, number];
  /** Number of different instructions per organisation. */
  readonly instructions: number;
  /** Probability that a request continues a conversation. */
  readonly continuationProbability: number;
  /** Range of the blocks that a request adds. */
  readonly newBlocks: readonly [number, number];
  /** Range of the tokens of an answer. */
  readonly tokens: readonly [number, number];
  readonly deadline: Millis;
}

const MAX_BLOCKS = 64;
const MAX_CONVERSATIONS = 200;
const LARGE_ORGANISATIONS = 3;
const LARGE_WEIGHT = 4;

/** Drivers plan in long conversations over a few instructions. */
export const KIVULI: WorkloadShape = {
  name: 'kivuli',
  organisations: 10,
  instructionBlocks: [12, 24],
  instructions: 2,
  continuationProbability: 0.7,
  newBlocks: [1, 6],
  tokens: [30, 150],
  deadline: 10_000,
};

/** Staff draft and summarise: more templates, longer texts, fewer turns. */
export const MAISON: WorkloadShape = {
  name: 'maison',
  organisations: 10,
  instructionBlocks: [8, 20],
  instructions: 6,
  continuationProbability: 0.35,
  newBlocks: [2, 14],
  tokens: [40, 250],
  deadline: 10_000,
};

/** Generates the requests of a deployment, deterministic for a seed. */
export class Workload {
  private nextHash = 1;
  private readonly instructionPrefixes: (readonly number[])[][];
  private readonly conversations: (readonly number[])[][];

  /**
   * @param shape - shape of the requests
   * @param chance - random source of the requests
   */
  constructor(
    private readonly shape: WorkloadShape,
    private readonly chance: Chance,
  ) {
    const organisations = Array.from({length: shape.organisations});
    this.instructionPrefixes = organisations.map(() =>
      Array.from({length: shape.instructions}, () =>
        this.blocks(chance.between(...shape.instructionBlocks)),
      ),
    );
    this.conversations = organisations.map(() => []);
  }

  /** Generates the next request. */
  next(): Arrival {
    const index = this.drawOrganisation();
    const {tokens, deadline, newBlocks} = this.shape;
    const base = this.drawBase(index);
    const added = this.blocks(this.chance.between(...newBlocks));
    const prefix = [...base, ...added].slice(0, MAX_BLOCKS);
    this.storeConversation(index, prefix);
    return {
      organisation: organisationName(`organisation-${index}`),
      weight: index < LARGE_ORGANISATIONS ? LARGE_WEIGHT : 1,
      priority: 'normal',
      prefix,
      tokens: this.chance.between(...tokens),
      deadline,
    };
  }

  private drawOrganisation(): number {
    const {organisations} = this.shape;
    const total =
      LARGE_ORGANISATIONS * LARGE_WEIGHT + organisations - LARGE_ORGANISATIONS;
    const drawn = this.chance.between(0, total - 1);
    const large = Math.floor(drawn / LARGE_WEIGHT);
    return large < LARGE_ORGANISATIONS
      ? large
      : drawn - LARGE_ORGANISATIONS * LARGE_WEIGHT + LARGE_ORGANISATIONS;
  }

  private drawBase(index: number): readonly number[] {
    const open = this.conversations[index] ?? [];
    if (
      open.length > 0 &&
      this.chance.fraction() < this.shape.continuationProbability
    ) {
      const [taken] = open.splice(this.chance.between(0, open.length - 1), 1);
      if (taken !== undefined) return taken;
    }
    return this.chance.pick(this.instructionPrefixes[index] ?? [[]]);
  }

  private storeConversation(index: number, prefix: readonly number[]): void {
    const open = this.conversations[index] ?? [];
    if (prefix.length < MAX_BLOCKS) open.push(prefix);
    if (open.length > MAX_CONVERSATIONS) open.shift();
  }

  private blocks(count: number): number[] {
    return Array.from({length: count}, () => this.nextHash++);
  }
}
