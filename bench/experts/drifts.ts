import type {Chance} from '../../src/core/index.js';
import type {GroupShape} from '../../src/expert_groups/index.js';

/** Popularity of the experts of one layer, as weights that sum to 1. */
type Popularity = Float64Array;

/** Simulated change of expert popularity between intervals. */
export abstract class Drift {
  /** @param name - name in the printed results */
  constructor(readonly name: string) {}

  /**
   * Returns the popularity in an interval; called once for each, in order.
   * @param interval - number of the interval, from 0
   */
  abstract next(interval: number): readonly Popularity[];
}

/** Returns a Zipf-like popularity over a random order of the experts. */
function zipf(chance: Chance, experts: number, exponent: number): Popularity {
  const order = chance.sample([...Array(experts).keys()], experts);
  const weights = new Float64Array(experts);
  for (const [place, expert] of order.entries()) {
    weights[expert] = 1 / (place + 4) ** exponent;
  }
  return normalize(weights);
}

function normalize(weights: Float64Array): Popularity {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map(weight => weight / total);
}

/** Draws noise with mean 0 and a standard deviation near 1. */
const noise = (chance: Chance) =>
  (chance.fraction() + chance.fraction() + chance.fraction() - 1.5) * 2;

const EXPONENT = 0.7;

/** Independent random walk of each expert's popularity. */
export class SlowDrift extends Drift {
  private layers: Popularity[];

  constructor(
    private readonly chance: Chance,
    {layers, experts}: GroupShape,
    private readonly deviation = 0.02,
    name = 'slow',
  ) {
    super(name);
    this.layers = Array.from({length: layers}, () =>
      zipf(chance, experts, EXPONENT),
    );
  }

  next(): readonly Popularity[] {
    const {chance, deviation} = this;
    this.layers = this.layers.map(layer =>
      normalize(
        layer.map(weight => weight * Math.exp(deviation * noise(chance))),
      ),
    );
    return this.layers;
  }
}

/** Bursts: a few experts are four times as popular for a few intervals. */
export class BurstyDrift extends Drift {
  private readonly baseDrift: SlowDrift;
  private readonly bursts: {layer: number; expert: number; until: number}[] =
    [];

  constructor(
    private readonly chance: Chance,
    private readonly shape: GroupShape,
  ) {
    super('bursty');
    this.baseDrift = new SlowDrift(chance, shape, 0.01);
  }

  next(interval: number): readonly Popularity[] {
    const {chance, shape, bursts} = this;
    for (let layer = 0; layer < shape.layers; layer++) {
      if (chance.fraction() > 0.3) continue;
      const expert = chance.between(0, shape.experts - 1);
      const until = interval + chance.between(2, 8);
      bursts.push({layer, expert, until});
    }
    const layers = this.baseDrift.next().map(layer => layer.slice());
    for (const {layer, expert, until} of bursts) {
      if (until >= interval) layers[layer]![expert]! *= 4;
    }
    return layers.map(normalize);
  }
}

/** Swaps the popularity of half of the experts, twice during a run. */
export class SwapDrift extends Drift {
  private layers: readonly Popularity[] = [];
  private readonly baseDrift: SlowDrift;

  constructor(
    private readonly chance: Chance,
    private readonly shape: GroupShape,
    private readonly intervals: number,
  ) {
    super('swap');
    this.baseDrift = new SlowDrift(chance, shape, 0.005);
  }

  next(interval: number): readonly Popularity[] {
    this.layers = this.baseDrift.next();
    const third = Math.floor(this.intervals / 3);
    const swaps = interval > 0 && interval % third === 0;
    if (swaps) for (const layer of this.layers) this.swap(layer);
    return this.layers;
  }

  private swap(layer: Popularity): void {
    const all = [...layer.keys()];
    const half = this.chance.sample(all, Math.floor(this.shape.experts / 2));
    for (let i = 0; i + 1 < half.length; i += 2) {
      const [a, b] = [half[i]!, half[i + 1]!];
      [layer[a], layer[b]] = [layer[b]!, layer[a]!];
    }
  }
}

/** Mix of request kinds, each with its own popularity, in changing shares. */
abstract class MixDrift extends Drift {
  private readonly kinds: Popularity[][];

  constructor(name: string, chance: Chance, shape: GroupShape, kinds: number) {
    super(name);
    this.kinds = Array.from({length: kinds}, () =>
      Array.from({length: shape.layers}, () =>
        zipf(chance, shape.experts, EXPONENT),
      ),
    );
  }

  next(interval: number): readonly Popularity[] {
    const shares = this.shares(interval);
    return this.kinds[0]!.map((first, layer) => {
      const mixed = new Float64Array(first.length);
      for (const [kind, share] of shares.entries()) {
        const popularity = this.kinds[kind]![layer]!;
        for (const expert of mixed.keys()) {
          mixed[expert]! += share * popularity[expert]!;
        }
      }
      return normalize(mixed);
    });
  }

  protected abstract shares(interval: number): number[];
}

/** Orders, complaints and letters: the mix jumps every dozen intervals. */
export class OrderMix extends MixDrift {
  private targetShares: number[] = [];
  private currentShares: number[] = [];

  constructor(
    private readonly chance: Chance,
    shape: GroupShape,
  ) {
    super('maison', chance, shape, 5);
  }

  protected shares(interval: number): number[] {
    if (interval % 12 === 0) {
      this.targetShares = Array.from(
        {length: 5},
        () => this.chance.fraction() ** 2,
      );
      if (interval === 0) this.currentShares = this.targetShares;
    }
    this.currentShares = this.currentShares.map(
      (share, kind) => share + (this.targetShares[kind]! - share) / 3,
    );
    return this.currentShares;
  }
}

/** A quiet morning, a steep afternoon of stops and queries, a summary. */
export class AfternoonMix extends MixDrift {
  constructor(
    private readonly chance: Chance,
    shape: GroupShape,
    private readonly intervals: number,
  ) {
    super('kivuli', chance, shape, 3);
  }

  protected shares(interval: number): number[] {
    const hour = interval / this.intervals;
    const afternoon = 1 / (1 + Math.exp(-(hour - 0.4) * 30));
    const evening = 1 / (1 + Math.exp(-(hour - 0.85) * 40));
    const wobble = 0.05 * noise(this.chance);
    return [
      1 - afternoon + 0.05,
      Math.max(0.05, afternoon - evening + wobble),
      evening + 0.05,
    ];
  }
}
