import type {Chance} from '../../../src/core/index.js';
import {pause} from '../direct_estate.js';
import {CallerConnection} from './caller_connection.js';
import type {ConnectionEvents, ReadPace} from './caller_connection.js';
import {SIZES} from './mix.js';
import type {CallerKind, Mix} from './mix.js';
import {RequestRecord, draw} from './records.js';
import {SLOW_DEADLINE_MS} from './routes.js';

/** Time after its deadline at which a caller gives up, ms. */
const PATIENCE_MS = 1_500;
/** Time after the load in which callers wait for their last answers, ms. */
const LAST_ANSWERS_MS = 5_000;
/** Pauses of slow callers between two pieces that they read, ms. */
const SLOW_READ_MS = [30, 120] as const;
const STALL_MS = [500, 7_000] as const;
/** Time from a request to what its caller sends or does beside it, ms. */
const BESIDE_MS = [0, 700] as const;
/** Time that a connection stays open behind an unfinished request, ms. */
const UNFINISHED_MS = 4_500;
const PIPELINED: Range = [1, 4];
/** Requests of a caller that sends many small ones behind one another. */
const DEEP: Range = [20, 200];
const DEEP_KINDS = {unsafe: 1, safe: 1} as const;
/** An answer without a length ends its connection. */
const DEEP_FRAMINGS = {length: 1, chunks: 1} as const;
const MAX_EVENTS = 25;
/** Requests that a caller sends on a connection before it opens another. */
const MAX_REQUESTS = 20;
const GARBAGE = ['\x16\x03\x01\x02\x00\x01\xfc', 'load\r\n\r\n', '{"a": 1}\n'];

type Range = readonly [number, number];

/** What a caller asks and tells the soak. */
export interface CallerHost extends ConnectionEvents {
  readonly mix: Mix;
  readonly chance: Chance;
  readonly isOver: boolean;
  /** Time at which the load ends. */
  readonly endsAt: number;
  /** Draws an entry slot and returns its number and port. */
  pickEntry(): {slot: number; port: number};
  /** What was played, in the order in which it began. */
  readonly played: string[];
  /** Registers a request before its first byte is sent. */
  register(record: RequestRecord): void;
}

/** Caller that sends requests until the soak is over. */
export class SoakCaller {
  private count = 0;

  /**
   * @param number - its number
   * @param host - the soak
   */
  constructor(
    private readonly number: number,
    private readonly host: CallerHost,
  ) {}

  /** Sends requests until the soak is over. */
  async run(): Promise<void> {
    const {host} = this;
    while (!host.isOver) {
      const kind = draw(host.chance, host.mix.callerKinds);
      const {slot, port} = host.pickEntry();
      const pace = this.paceOf(kind);
      const connection = await CallerConnection.open(port, pace, host);
      if (connection === undefined) await pause(50);
      else {
        await this.use(connection, kind, slot);
        connection.leave();
      }
    }
  }

  private async use(
    connection: CallerConnection,
    kind: CallerKind,
    slot: number,
  ): Promise<void> {
    const {chance, mix} = this.host;
    for (let i = 0; i < MAX_REQUESTS && connection.isUsable; i++) {
      if (this.host.isOver) return;
      const giveUp = setTimeout(
        () => connection.leave(),
        Math.min(
          SLOW_DEADLINE_MS + PATIENCE_MS,
          this.host.endsAt + LAST_ANSWERS_MS - performance.now(),
        ),
      );
      await this.exchange(connection, kind, slot);
      clearTimeout(giveUp);
      await pause(chance.between(0, mix.pauseMs));
    }
  }

  private async exchange(
    connection: CallerConnection,
    kind: CallerKind,
    slot: number,
  ): Promise<void> {
    const {chance} = this.host;
    const first = this.next(kind, slot);
    const answered = connection.send(first);
    const beside = () => pause(chance.between(...BESIDE_MS));
    switch (kind) {
      case 'slow_pipelines':
      case 'pipelines':
      case 'deep_pipelines': {
        const range: Range = kind === 'deep_pipelines' ? DEEP : PIPELINED;
        const more = Array.from({length: chance.between(...range)}, () =>
          connection.send(this.next(kind, slot)),
        );
        await Promise.all([answered, ...more]);
        return;
      }
      case 'early_finished':
      case 'early_unfinished': {
        await beside();
        const second = this.next(kind, slot);
        const bytes = second.bytesToSend;
        const at = chance.between(1, bytes.length - 1);
        connection.write(bytes.slice(0, at));
        await answered;
        if (!connection.isUsable) return;
        if (kind === 'early_finished') {
          await connection.send(second, bytes.slice(at));
          return;
        }
        await pause(UNFINISHED_MS);
        connection.leave();
        return;
      }
      case 'garbage':
        if (chance.fraction() < 0.7) await beside();
        connection.write(chance.pick(GARBAGE));
        await answered;
        connection.leave();
        return;
      case 'half_closes':
        await beside();
        connection.halfClose();
        await answered;
        return;
      case 'leaves':
        await beside();
        connection.leave();
        return;
      default:
        await answered;
    }
  }

  private paceOf(kind: CallerKind): ReadPace {
    const {chance} = this.host;
    const isSlow = kind === 'slow' || kind === 'slow_pipelines';
    const pauseMs = isSlow ? chance.between(...SLOW_READ_MS) : 0;
    const stallMs = kind === 'stalled' ? chance.between(...STALL_MS) : 0;
    return {pauseMs, stallMs};
  }

  private next(caller: CallerKind, slot: number): RequestRecord {
    const {chance, mix} = this.host;
    this.count += 1;
    const id = `c${this.number}-${this.count}`;
    const isDeep = caller === 'deep_pipelines';
    const kind = draw(chance, isDeep ? DEEP_KINDS : mix.kinds);
    const isStream = kind === 'stream' || kind === 'once_stream';
    const [low, high] = SIZES[isDeep ? 'small' : draw(chance, mix.sizes)];
    const bytes = isStream
      ? chance.between(1, MAX_EVENTS)
      : chance.between(low, high);
    const framing = draw(chance, isDeep ? DEEP_FRAMINGS : mix.framings);
    const isOld = caller === 'old';
    const record = new RequestRecord(id, kind, caller, framing, bytes, isOld);
    record.slot = slot;
    record.begunAt = performance.now();
    record.sentAt = record.begunAt;
    this.host.register(record);
    return record;
  }
}
