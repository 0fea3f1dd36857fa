import {pause} from '../direct_estate.js';
import {CallerConnection} from './caller_connection.js';
import type {AbuserKind} from './mix.js';
import {RequestRecord, draw, filler} from './records.js';
import type {CallerHost} from './soak_caller.js';

/** Connections that an abuser opens at once, and requests on each, by its kind. */
const CONNECTIONS: Readonly<Record<AbuserKind, readonly [number, number]>> = {
  stalled_bodies: [40, 120],
  dripped_bodies: [20, 60],
  large_bodies: [40, 120],
  floods: [1, 4],
  unread_floods: [1, 4],
  keyless_floods: [1, 2],
  unread_answers: [5, 20],
  endless_heads: [100, 400],
};
const FLOOD = [300, 12_000] as const;
const KEYLESS_FLOOD = [5_000, 30_000] as const;
const UNREAD_ANSWERS = [2, 6] as const;
const UNREAD_BYTES = [1_000_000, 5_000_000] as const;
/** Bytes that end a stalled body, and never come. */
const MISSING_BYTES = 1_000;
const HEAD_BYTES = 15_000;
const DRIP_MS = 200;
/** Time for which an abuser holds its connections, ms. */
const HELD_MS = [1_000, 6_000] as const;
const MAX_PAUSE_MS = 1_000;
const NEVER_MS = 60_000;

/** Caller that hands an entry more than it has to take, until the soak is over. */
export class SoakAbuser {
  private count = 0;

  /**
   * @param number - its number
   * @param host - the soak
   */
  constructor(
    private readonly number: number,
    private readonly host: CallerHost,
  ) {}

  /** Abuses one entry after the other. */
  async run(): Promise<void> {
    const {host} = this;
    while (!host.isOver) {
      const kind = draw(host.chance, host.mix.abuserKinds);
      const {slot, port} = host.pickEntry();
      const isUnread = kind.startsWith('unread') || kind === 'keyless_floods';
      const pace = {pauseMs: 0, stallMs: isUnread ? NEVER_MS : 0};
      const connections = await Promise.all(
        Array.from({length: host.chance.between(...CONNECTIONS[kind])}, () =>
          CallerConnection.open(port, pace, host),
        ),
      );
      const open = connections.filter(one => one !== undefined);
      host.played.push(`${kind} ${open.length}`);
      for (const one of open) this.abuse(one, kind, slot);
      const until = performance.now() + host.chance.between(...HELD_MS);
      while (performance.now() < until && !host.isOver) {
        await pause(DRIP_MS);
        if (kind === 'dripped_bodies' || kind === 'endless_heads')
          for (const one of open) one.write('~');
      }
      for (const one of open) one.leave();
      await pause(host.chance.between(0, MAX_PAUSE_MS));
    }
  }

  private abuse(one: CallerConnection, kind: AbuserKind, slot: number): void {
    const {chance, mix} = this.host;
    const large = chance.between(mix.maxBodyBytes / 8, mix.maxBodyBytes * 0.97);
    const next = (bytes = chance.between(100, 4_000), fillerBytes = 0) =>
      this.next(kind, slot, bytes, Math.floor(fillerBytes));
    const several = (count: number, bytes?: number) =>
      Array.from({length: count}, () => next(bytes));
    switch (kind) {
      case 'stalled_bodies':
      case 'dripped_bodies': {
        const {bytesToSend, fillerBytes} = next(100, large);
        one.write(bytesToSend);
        one.write(filler(fillerBytes - MISSING_BYTES));
        return;
      }
      case 'large_bodies':
        return one.sendAll([next(100, large)]);
      case 'floods':
      case 'unread_floods':
        return one.sendAll(several(chance.between(...FLOOD)));
      case 'keyless_floods': {
        const request = 'GET /sheet/1 HTTP/1.1\r\nHost: vans.example\r\n\r\n';
        return one.write(request.repeat(chance.between(...KEYLESS_FLOOD)));
      }
      case 'unread_answers': {
        const bytes = chance.between(...UNREAD_BYTES);
        return one.sendAll(several(chance.between(...UNREAD_ANSWERS), bytes));
      }
      case 'endless_heads':
        one.write(`GET /sheet/1 HTTP/1.1\r\nHost: ${'~'.repeat(HEAD_BYTES)}`);
    }
  }

  private next(
    caller: AbuserKind,
    slot: number,
    bytes: number,
    fillerBytes: number,
  ): RequestRecord {
    this.count += 1;
    const id = `a${this.number}-${this.count}`;
    const kind = this.host.chance.fraction() < 0.5 ? 'safe' : 'unsafe';
    const record = new RequestRecord(id, kind, caller, 'length', bytes, false);
    record.isAbusive = true;
    record.fillerBytes = fillerBytes;
    record.slot = slot;
    record.begunAt = performance.now();
    record.sentAt = record.begunAt;
    this.host.register(record);
    return record;
  }
}
