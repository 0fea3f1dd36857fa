import type {IncomingMessage, ServerResponse} from 'node:http';

import type {CutoverOrder, OrderOutcome} from '../src/expert_groups/index.js';
import {StandinServer, readText, sendJson} from './http_server.js';
import {LockstepEngine} from './lockstep_engine.js';

const COPY_MS = 120;
/** Of as many responses, one is sent again for each delay. */
const REPEAT_EVERY = 7;
const STATUS: Readonly<Record<OrderOutcome, number>> = {
  accepted: 200,
  refused: 409,
  fenced: 412,
  replaced: 421,
  unanswered: 500,
  not_given: 500,
};

interface WireOrder {
  readonly Operation: string;
  readonly Version: number;
  readonly step: number;
  readonly Map: number[][][];
  readonly Fence: number;
  readonly epoch: number;
}

/** Group of ranks that step together, each with its own HTTP server. */
export class LockstepRanks {
  readonly servers: LockstepRankServer[];
  /** Number of passes that started with more than one map in use. */
  mixedPasses = 0;
  step = 0;
  /** Time at which all ranks switched to each map, by map version. */
  readonly changedAt = new Map<number, number>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param ranks - number of ranks in the group
   * @param experts - number of experts in its only set
   * @param passMs - duration of a forward pass, ms
   * @param popularity - selections of each expert in a pass
   */
  constructor(
    ranks: number,
    readonly experts: number,
    passMs: number,
    public popularity: readonly number[],
  ) {
    this.servers = Array.from(
      {length: ranks},
      (_, rank) => new LockstepRankServer(this, rank),
    );
    this.timer = setInterval(() => this.runPass(), passMs);
  }

  /** Stops the passes and all servers. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.servers.map(server => server.close()));
  }

  private runPass(): void {
    const next = this.step + 1;
    const engines = this.servers.map(({engine}) => engine);
    if (engines.some(({heldAt}) => heldAt === next)) return;
    this.step = next;
    for (const engine of engines) engine.beginStep(next);
    const maps = new Set(engines.map(({map}) => map));
    const [map = 0] = maps;
    if (maps.size > 1) this.mixedPasses += 1;
    else if (!this.changedAt.has(map)) this.changedAt.set(map, Date.now());
    for (const server of this.servers) server.countSelections();
  }
}

/** Serves the engine of one rank through the platform's HTTP interface. */
export class LockstepRankServer extends StandinServer {
  readonly engine = new LockstepEngine(COPY_MS);
  /** Operations whose orders are applied but get no response. */
  readonly unansweredOperations = new Set<string>();
  /** Delay, ms, after which some responses are sent again; none when empty. */
  repeatDelays: readonly number[] = [];
  private responses = 0;
  private readonly counts: number[];

  /**
   * @param group - group that the rank belongs to
   * @param rank - number of this rank
   */
  constructor(
    private readonly group: LockstepRanks,
    private readonly rank: number,
  ) {
    super();
    this.counts = group.popularity.map(() => 0);
  }

  /** Adds the expert selections of one pass to the routing counts. */
  countSelections(): void {
    this.group.popularity.forEach((n, i) => (this.counts[i]! += n));
  }

  protected async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    switch (req.url) {
      case '/api/report':
        return this.reply(res, this.report());
      case '/api/picked':
        return this.reply(res, {epoch: 1, Counts: this.counts});
      case '/api/picked?Lists=1':
        return this.reply(res, {
          Map: {Version: this.engine.map, Experts: this.ownExperts()},
        });
      case '/api/order': {
        const order = JSON.parse(await readText(req)) as WireOrder;
        const outcome = this.engine.applyOrder(
          Date.now(),
          this.group.step,
          fromWire(order),
          order.Fence,
        );
        if (this.unansweredOperations.has(order.Operation)) return;
        return this.reply(res, {}, STATUS[outcome]);
      }
      default:
        res.writeHead(404).end();
    }
  }

  private reply(res: ServerResponse, value: object, status = 200): void {
    const {socket} = res;
    sendJson(res, value, status);
    this.responses += 1;
    const delay = this.repeatDelays[this.responses % REPEAT_EVERY];
    if (delay === undefined || socket === null) return;
    const text = JSON.stringify(value);
    const repeat = `HTTP/1.1 ${status} Status\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
    setTimeout(() => socket.writable && socket.write(repeat), delay);
  }

  private report(): object {
    const {engine, group, rank} = this;
    const isCopied = Date.now() >= engine.preparedAt;
    return {
      group: {Name: 'g0', epoch: 1, rank, State: 'open'},
      size: group.servers.length,
      step: group.step,
      Map: engine.map,
      Prepared: isCopied ? engine.prepared : null,
      Armed: engine.armed?.map ?? null,
      held: engine.heldAt,
      Running: 1,
      born: 1,
    };
  }

  private ownExperts(): readonly (readonly number[])[] {
    return (this.engine.experts ?? []).map(set => set[this.rank] ?? []);
  }
}

function fromWire(wire: WireOrder): CutoverOrder {
  const {Operation, Version: map, step} = wire;
  switch (Operation) {
    case 'prepare':
      return {kind: 'prepare', map, experts: wire.Map};
    case 'arm':
      return {kind: 'arm', map, step};
    case 'disarm':
      return {kind: 'disarm', map};
    case 'Hold':
      return {kind: 'hold', step};
    default:
      return {kind: 'release', step};
  }
}
