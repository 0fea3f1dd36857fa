import type {IncomingMessage, ServerResponse} from 'node:http';

import type {
  EngineOrder,
  EngineState,
  GroupShape,
} from '../src/expert_groups/index.js';
import {applyOrder} from './engine_orders.js';
import {StandinServer, readText, sendJson} from './http_server.js';

interface OrderRequest {
  readonly order: EngineOrder;
  readonly engine: string;
  readonly fence: number;
}

interface Placement {
  readonly version: number;
  readonly slotsPerRank: number;
  readonly layers: number[][];
}

/** Ranks of one group in one process; a step runs only when all can start it. */
export class RankGroup {
  readonly engines: RankEngine[] = [];
  /** Maps in use by step and rank. */
  readonly used: (readonly (number | null)[])[] = [];
  /** Load of each expert in a step; equal in all layers. */
  popularity: number[];
  private engineCount = 0;
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param shape - dimensions of the group
   * @param checksFencing - whether engines reject older fencing tokens
   */
  constructor(
    readonly shape: GroupShape,
    readonly checksFencing = false,
  ) {
    this.popularity = Array.from({length: shape.experts}, () => 1);
    for (let rank = 0; rank < shape.ranks; rank++) {
      this.engines.push(
        new RankEngine(this, rank, `engine-${this.engineCount++}`),
      );
    }
  }

  /** Identifier of the current set of engines. */
  get communicator(): string {
    return this.engines.map(({id}) => id).join('+');
  }

  /**
   * Starts running steps.
   * @param stepMs - duration of a step, ms
   */
  start(stepMs: number): void {
    this.timer = setInterval(() => this.step(), stepMs);
  }

  /** Stops all engines. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    for (const engine of this.engines) await engine.close();
  }

  /** Runs the next step if every rank can start it. */
  private step(): void {
    const step = this.used.length + 1;
    for (const engine of this.engines) engine.beginStep(step);
    if (!this.engines.every(engine => engine.startedStep === step)) return;
    this.used.push(this.engines.map(({map}) => map));
  }
}

/**
 * Stands in for the engine of one rank. It holds at a named step, stores a
 * release until that step and reports its communicator; it has no plain pause.
 */
export class RankEngine extends StandinServer {
  map: number | null = null;
  /** Latest step that the engine started. */
  startedStep = 0;
  /** Number of next orders that take effect but get no response. */
  loseAnswers = 0;
  hold: EngineState['hold'] = null;
  next: EngineState['next'] = null;
  private fence = 0;
  private reportedStep = 0;
  private readonly placements = new Map<number, Placement>();
  private readonly weights = new Map<string, number>();

  constructor(
    private readonly group: RankGroup,
    readonly rank: number,
    readonly id: string,
  ) {
    super();
  }

  /** Starts a step unless the engine holds, has no map or already started it. */
  beginStep(step: number): void {
    if (this.map === null || this.startedStep >= step) return;
    if (this.hold !== null && this.hold.step <= step) return;
    if (this.next !== null && this.next.step <= step) {
      this.map = this.next.map;
      this.next = null;
    }
    this.startedStep = step;
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://standin');
    const [, , kind, ...rest] = url.pathname.split('/');
    const post = req.method === 'POST';
    switch (kind) {
      case 'state':
        return sendJson(res, this.state());
      case 'orders':
        return this.handleOrder(
          JSON.parse(await readText(req)) as OrderRequest,
          res,
        );
      case 'maps': {
        if (!post) return this.sendMap(Number(rest[0]), res);
        const map = JSON.parse(await readText(req)) as Placement;
        this.placements.set(map.version, map);
        return sendJson(res, {});
      }
      case 'weights':
        return this.handleWeights(rest.join('/'), url, post ? req : null, res);
      case 'loads':
        return sendJson(res, this.loads());
      default:
        return sendJson(res, {}, 404);
    }
  }

  private state(): EngineState {
    const {id: engine, map, startedStep: step, hold, next} = this;
    const {communicator} = this.group;
    const staged = [0, ...this.placements.keys()];
    return {engine, communicator, map, step, hold, next, staged};
  }

  private handleOrder(
    {order, engine, fence}: OrderRequest,
    res: ServerResponse,
  ) {
    if (this.group.checksFencing && fence < this.fence) {
      return sendJson(res, {}, 409);
    }
    this.fence = fence;
    if (engine === this.id) applyOrder(this, this.startedStep, order);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      res.destroy();
      return;
    }
    sendJson(res, this.state());
  }

  private sendMap(version: number, res: ServerResponse): void {
    const map = this.placements.get(version);
    if (map === undefined) return sendJson(res, {}, 404);
    sendJson(res, map);
  }

  private async handleWeights(
    name: string,
    url: URL,
    req: IncomingMessage | null,
    res: ServerResponse,
  ): Promise<void> {
    const have = this.weights.get(name) ?? 0;
    if (req === null) return sendJson(res, {have});
    let size = 0;
    for await (const chunk of req) size += (chunk as Buffer).length;
    const offset = Number(url.searchParams.get('offset'));
    if (offset === have) this.weights.set(name, have + size);
    sendJson(res, {have: this.weights.get(name) ?? 0});
  }

  /** Returns this rank's part of the group's load under the current placement. */
  private loads(): object {
    const {shape, popularity} = this.group;
    const {slotsPerRank, layers, ranks} = shape;
    const fromStep = this.reportedStep;
    const toStep = this.startedStep;
    this.reportedStep = toStep;
    const placement = this.placements.get(this.map ?? 0);
    const layer = (index: number) =>
      placement?.layers[index] ??
      Array.from({length: ranks * slotsPerRank}, (_, slot) => {
        const rank = Math.floor(slot / slotsPerRank);
        return ((slot % slotsPerRank) * ranks + rank) % shape.experts;
      });
    const tokens = Array.from({length: layers}, (_, index) => {
      const all = layer(index);
      const own = all.slice(this.rank * slotsPerRank).slice(0, slotsPerRank);
      return own.map(expert => {
        const replicas = all.filter(other => other === expert).length;
        return (popularity[expert]! * (toStep - fromStep)) / replicas;
      });
    });
    return {fromStep, toStep, busyMs: toStep - fromStep, tokens};
  }
}
