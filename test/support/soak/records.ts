import type {Chance} from '../../../src/core/index.js';
import {CALLER_DEADLINE_MS, KINDS, SLOW_DEADLINE_MS} from './routes.js';
import type {Kind} from './routes.js';

/** How a body says where it ends. */
export type Framing = 'length' | 'chunks' | 'close';

/** One arrival of a request at an upstream. */
export interface Run {
  /** Value of `Response-Seal`. */
  readonly seal: string;
  readonly upstream: string;
  readonly arrivedAt: number;
  /** `Deadline-Ms` as the upstream received it. */
  readonly deadlineMs: number;
  /** Id of the first event, for streams. */
  readonly firstEvent: number;
  /** Status that the upstream gave; 0 while it has given none. */
  status: number;
  /** Whether the request ran; false after `Not-Executed`. */
  hasRun: boolean;
  /** Whether the upstream broke off, or sent what belongs to no request. */
  isUnsound: boolean;
  /** Time at which the upstream had given its answer, or its connection closed. */
  endedAt: number | undefined;
}

/** What the caller saw of its request. */
export interface Seen {
  readonly status: number;
  readonly seal: string | undefined;
  readonly framing: Framing | undefined;
  readonly body: Buffer;
  /** Whether the caller takes the response for complete. */
  readonly isWhole: boolean;
  /** How the connection ended, if it did before the response was complete. */
  readonly end: 'none' | 'closed' | 'reset' | 'left';
  readonly at: number;
}

/** A request of a caller, from its first byte on. */
export class RequestRecord {
  readonly runs: Run[] = [];
  seen: Seen | undefined;
  /** Time of its first byte, and of its last. */
  begunAt = 0;
  sentAt = 0;
  /** Number of the entry slot that it was sent to. */
  slot = 0;
  /** Time at which the caller closed its connection, or its sending half. */
  leftAt: number | undefined;
  /** Whether the answer before it announced the end of the connection. */
  crossesClose = false;
  /** Whether its caller hands in more than an entry has to take. */
  isAbusive = false;
  /** Bytes of its body after `content`. */
  fillerBytes = 0;
  /** The request before it whose answer broke off with the connection. */
  behindBroken: RequestRecord | undefined;

  /**
   * @param id - its `Request-Id`
   * @param kind - retry class
   * @param caller - kind of caller
   * @param framing - framing of its answer at the upstream
   * @param bytes - length of the body of its answer; events of a stream
   * @param isOld - whether it is sent in HTTP/1.0
   */
  constructor(
    readonly id: string,
    readonly kind: Kind,
    readonly caller: string,
    readonly framing: Framing,
    readonly bytes: number,
    readonly isOld: boolean,
  ) {}

  /**
   * Returns the request that a path tells of, as an upstream knows it.
   * @param path - path of any caller
   * @returns undefined for a path that no request of the soak has
   */
  static ofPath(path: string): RequestRecord | undefined {
    const [, prefix, id = '', told = ''] = PATH.exec(path) ?? [];
    const kind = (Object.keys(KINDS) as Kind[]).find(
      one => KINDS[one].prefix === prefix,
    );
    const [caller = '', framing, bytes, isOld, fillerBytes] = told.split('.');
    if (kind === undefined || fillerBytes === undefined) return undefined;
    const record = new RequestRecord(
      id,
      kind,
      caller,
      framing as Framing,
      Number(bytes),
      isOld === '1',
    );
    record.fillerBytes = Number(fillerBytes);
    return record;
  }

  /** Path on its route, which tells an upstream how to answer. */
  get path(): string {
    const {kind, id, caller, framing, bytes, isOld, fillerBytes} = this;
    const told = [caller, framing, bytes, isOld ? 1 : 0, fillerBytes];
    return `${KINDS[kind].prefix}${id}?${told.join('.')}`;
  }

  /** Body of the request, up to its filler. */
  get content(): string {
    return `load of ${this.id};`.repeat(3);
  }

  /** Whether its answers are event streams. */
  get isStream(): boolean {
    return KINDS[this.kind].isStream;
  }

  /** Whether it may run once at most. */
  get isOnce(): boolean {
    return KINDS[this.kind].isOnce;
  }

  /** Whether its caller reads slowly, or not at all for a time. */
  get readsSlowly(): boolean {
    return ['slow', 'slow_pipelines', 'stalled'].includes(this.caller);
  }

  /** Whether it is one of many behind one another, which run for a moment each. */
  get isBrief(): boolean {
    return this.caller === 'deep_pipelines';
  }

  /** Time that its caller waits, ms. */
  get deadlineMs(): number {
    return this.readsSlowly ? SLOW_DEADLINE_MS : CALLER_DEADLINE_MS;
  }

  /** Time at which its caller gives up. */
  get deadlineAt(): number {
    return this.sentAt + this.deadlineMs;
  }

  /** The request in the wire format. */
  get bytesToSend(): string {
    return (
      `POST ${this.path} HTTP/1.${this.isOld ? 0 : 1}\r\nHost: vans.example\r\n` +
      `Request-Id: ${this.id}\r\nAuthorization: Bearer k1\r\n` +
      `Deadline-Ms: ${this.deadlineMs}\r\n` +
      `Content-Length: ${this.content.length + this.fillerBytes}\r\n\r\n` +
      this.content
    );
  }

  /**
   * Returns whether a body is the one of the request.
   * @param body - octets as Latin-1 text
   */
  hasBody(body: string): boolean {
    const {content, fillerBytes} = this;
    if (fillerBytes === 0) return body === content;
    const rest = Buffer.from(body.slice(content.length), 'latin1');
    return body.startsWith(content) && rest.equals(filler(fillerBytes));
  }
}

const PATH = /^(\/\w+\/)([^?]+)\?(\S+)$/;

const NOISE_BYTES = 10 * 2 ** 20;
let noise: Buffer | undefined;

function noiseBytes(): Buffer {
  noise ??= Buffer.from(
    Array.from({length: NOISE_BYTES / 16}, (_, i) =>
      `${(i * 2_654_435_761) % 1e15}`.padEnd(15, '.').concat('\n'),
    ).join(''),
  );
  return noise;
}

/**
 * Returns what follows the content of a request with a large body.
 * @param bytes - its length
 */
export const filler = (bytes: number) => noiseBytes().subarray(0, bytes);

/**
 * Returns the whole body of a run: its seal, then bytes that depend on it.
 * @param seal - seal of the run
 * @param length - length in bytes
 */
export function bodyOf(seal: string, length: number): Buffer {
  const mark = Buffer.from(`${seal}\n`);
  const from =
    16 * (mark.reduce((sum, byte) => (sum * 31 + byte) % 9_973, 7) % 4_096);
  const rest = Math.max(0, length - mark.length);
  return Buffer.concat([mark, noiseBytes().subarray(from, from + rest)]);
}

/**
 * Returns an event of a run's stream.
 * @param seal - seal of the run
 * @param number - id of the event
 */
export const eventOf = (seal: string, number: number) =>
  `id: ${number}\ndata: ${seal} ${number}\n\n`;

/** Weights of the kinds of one property. */
export type Weights<T extends string> = Readonly<Partial<Record<T, number>>>;

/**
 * Draws a kind.
 * @param chance - the seed's generator
 * @param weights - weight of each kind
 */
export function draw<T extends string>(chance: Chance, weights: Weights<T>): T {
  const kinds = Object.entries(weights) as [T, number][];
  let at = chance.fraction() * kinds.reduce((sum, [, one]) => sum + one, 0);
  for (const [kind, weight] of kinds) {
    at -= weight;
    if (at < 0) return kind;
  }
  return kinds[0]![0];
}
