import {build} from 'hdr-histogram-js';

import {CurrentTextParser, TextParser} from '../../src/configuration/index.js';
import {SECOND, recordId, version} from '../../src/core/index.js';
import type {Millis} from '../../src/core/index.js';
import {DeflateCodec, compressRecord} from '../../src/clients/index.js';
import {ControlEstate} from './control_estate.js';
import {largeText} from './large_text.js';

/** Interval for 2,100 changes a day. */
const CHANGE_INTERVAL: Millis = 41 * SECOND;
const CHANGES = 3;
const WARM_UP: Millis = 30 * SECOND;
const MIB = 2 ** 20;

/** Shares one parse among all nodes; its cost is measured separately. */
class SharedParser extends TextParser {
  private readonly current = new CurrentTextParser();
  private readonly parsed = new Map<string, ReturnType<TextParser['parse']>>();

  parse(text: string) {
    const result = this.parsed.get(text) ?? this.current.parse(text);
    this.parsed.set(text, result);
    return result;
  }
}

/** Measurements of a run with many nodes. */
export interface Slope {
  readonly nodes: number;
  readonly relay: boolean;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  readonly messagesPerNodeSecond: number;
  readonly bytesPerNodeSecond: number;
  readonly busiestBytesPerSecond: number;
  readonly peerBytesAcrossZones: number;
  readonly logBytesAcrossZones: number;
  readonly cpuMsPerNodeSecond: number;
  readonly heapMibPerNode: number;
}

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures the propagation of changes of a large text to many nodes.
 * @param zones - number of availability zones
 * @param perZone - nodes per zone
 * @param relay - whether nodes relay updates; otherwise each reads the log
 */
export function measureSlope(
  zones: number,
  perZone: number,
  relay: boolean,
): Slope {
  const heapBefore = heapUsed();
  const parser = new SharedParser();
  const delays = build();
  let publishedAt = 0;
  const estate: ControlEstate = new ControlEstate({
    zones,
    perZone,
    seed: 1,
    codec: new DeflateCodec(),
    parser: () => parser,
    relay,
    counts: true,
    inForce: (_process, inForce) => {
      if (inForce > 1) {
        delays.recordValue(Math.round((estate.time.now - publishedAt) * 10));
      }
    },
  });
  const publish = (revision: number) => {
    const text = largeText(revision);
    const id = recordId(`p${revision}`);
    const author = 'bench';
    const base = version(revision);
    const record = {kind: 'publication', id, base, author, text};
    const size = JSON.stringify(compressRecord(record)).length;
    publishedAt = estate.time.now;
    estate.log.append(record, size);
  };
  publish(0);
  estate.time.advance(WARM_UP);
  for (const {traffic} of estate.slots) {
    Object.assign(traffic, {
      messages: 0,
      bytes: 0,
      bytesAcrossZones: 0,
      bytesFromLog: 0,
    });
  }
  const cpuBefore = process.cpuUsage();
  for (let revision = 1; revision <= CHANGES; revision++) {
    publish(revision);
    estate.time.advance(CHANGE_INTERVAL);
  }
  const {user, system} = process.cpuUsage(cpuBefore);
  const seconds = (CHANGES * CHANGE_INTERVAL) / SECOND;
  const nodes = estate.size;
  const traffic = estate.slots.map(slot => slot.traffic);
  const sum = (of: (one: (typeof traffic)[number]) => number) =>
    traffic.reduce((total, one) => total + of(one), 0);
  // The log is in the first zone; nodes of other zones read across zones.
  const far = traffic.filter((_, slot) => estate.zoneOf(slot) !== 0);
  const perNodeSecond = nodes * seconds;
  return {
    nodes,
    relay,
    p50Ms: delays.getValueAtPercentile(50) / 10,
    p99Ms: delays.getValueAtPercentile(99) / 10,
    maxMs: delays.maxValue / 10,
    messagesPerNodeSecond: sum(one => one.messages) / perNodeSecond,
    bytesPerNodeSecond:
      sum(one => one.bytes + one.bytesFromLog) / perNodeSecond,
    busiestBytesPerSecond:
      Math.max(...traffic.map(one => one.bytes + one.bytesFromLog)) / seconds,
    peerBytesAcrossZones: sum(one => one.bytesAcrossZones) / CHANGES,
    logBytesAcrossZones:
      far.reduce((total, one) => total + one.bytesFromLog, 0) / CHANGES,
    cpuMsPerNodeSecond: (user + system) / 1_000 / perNodeSecond,
    heapMibPerNode: (heapUsed() - heapBefore) / MIB / nodes,
  };
}
