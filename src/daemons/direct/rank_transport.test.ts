import {errAsync, okAsync} from 'neverthrow';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {testReport} from '../../../test/support/rank_samples.js';
import {RankClient} from '../../clients/index.js';
import {Fault} from '../../errors/index.js';
import type {RankReport, IssuedOrder} from '../../expert_groups/index.js';
import {SILENT_LOGGER} from '../../observability/index.js';
import {REMOTE_REPORT_LAG, RankTransport} from './rank_transport.js';
import type {RankTransportPorts} from './rank_transport.js';

const report = (rank: number, armed: number | null): RankReport =>
  testReport(rank, {armed});

/** An engine whose remote reports lag behind its state. */
class LaggingEngine extends RankClient {
  readonly orders: string[] = [];
  private armedAt = Infinity;

  constructor(private readonly lag: number) {
    super();
  }

  arm(): void {
    this.armedAt = performance.now();
  }

  report() {
    const seen = performance.now() - this.lag;
    return okAsync(report(1, seen >= this.armedAt ? 7 : null));
  }

  expertSelections() {
    return errAsync(new Fault('engine_unreachable'));
  }

  placement() {
    return errAsync(new Fault('engine_unreachable'));
  }

  async sendOrder(order: IssuedOrder['order']) {
    this.orders.push(order.kind);
    return 'accepted' as const;
  }

  async sendOrderAndReport(
    order: IssuedOrder['order'],
    _token: number,
    _epoch: number,
    lag: number,
  ) {
    const outcome = await this.sendOrder(order);
    if (lag > 0) await new Promise(resolve => setTimeout(resolve, lag));
    return {outcome, report: (await this.report())._unsafeUnwrap()};
  }
}

describe('RankReach', () => {
  beforeEach(() => void vi.useFakeTimers());
  afterEach(() => void vi.useRealTimers());

  const issued: IssuedOrder = {
    rank: 1,
    order: {kind: 'disarm', map: 9},
    token: 3,
    epoch: 1,
    channel: 'beside',
  };

  const RANK_1 = {sidecar: 'b:1', engine: 'b:2', pace: 1};

  async function startTransport(
    engine: RankClient,
    ranks: RankTransportPorts['registry']['ranks'] = async () =>
      okAsync(new Map([[1, RANK_1]])),
  ) {
    const answers: (RankReport | undefined)[] = [];
    const ports = {
      engine,
      registry: {ranks},
      links: {dial: () => undefined, sendTo: () => false},
      self: {sidecar: 'a:1', engine: 'a:2'},
      engineAt: () => engine,
    } as unknown as RankTransportPorts;
    const transport = new RankTransport(
      ports,
      {
        report: () => undefined,
        placement: () => undefined,
        answered: (_issued, _outcome, read) => answers.push(read),
      },
      SILENT_LOGGER,
    );
    transport.refresh(0, report(0, null), () => false);
    await vi.advanceTimersByTimeAsync(1);
    return {transport, answers};
  }

  it('reads the effect of an order only after the lag of remote reports', async () => {
    const engine = new LaggingEngine(200);
    const {transport, answers} = await startTransport(engine);
    // An arm order of a resumed coordinator arrives just before this order.
    engine.arm();
    transport.send(10, report(0, null), issued);
    await vi.advanceTimersByTimeAsync(REMOTE_REPORT_LAG + 50);
    expect(answers.map(read => read?.armed)).toEqual([7]);
  });

  it('keeps the addresses of ranks that a restored store has lost', async () => {
    const engine = new LaggingEngine(200);
    const listings = [[[1, RANK_1] as const], []];
    const ranks = async () => okAsync(new Map(listings.shift()));
    const {transport} = await startTransport(engine, ranks);
    transport.refresh(2_000, report(0, null), () => false);
    await vi.advanceTimersByTimeAsync(1);
    expect(listings).toEqual([]);
    expect(transport.send(2_010, report(0, null), issued)).toBe(true);
    await vi.advanceTimersByTimeAsync(1);
    expect(engine.orders).toEqual(['disarm']);
  });

  it('does not retry an order whose report is pending', async () => {
    const engine = new LaggingEngine(200);
    const {transport} = await startTransport(engine);
    for (let now = 0; now < 500; now += 120) {
      transport.send(now, report(0, null), issued);
      await vi.advanceTimersByTimeAsync(120);
    }
    expect(engine.orders).toEqual(['disarm']);
  });
});
