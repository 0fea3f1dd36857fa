/**
 * Compares this build with bytes, records and names that an earlier build wrote
 * (commit 5e2b3f7). Processes of two builds run side by side during a rollout,
 * and stored records outlive a build: a rename that reaches a wire message, a
 * stored record, a setting or a metric breaks both. The recorded files are not
 * regenerated from newer code.
 */
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {readFileSync, readdirSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {inflateRawSync} from 'node:zlib';

import {ResultAsync, okAsync} from 'neverthrow';
import {describe, expect, it, vi} from 'vitest';
import type {z} from 'zod';

import {PlatformEstate} from '../platform/platform_estate.js';
import {decodeSettings} from '../platform/settings.js';
import {CLAIMS_STREAM, ClaimBatcher, claimRecord} from '../src/calls/index.js';
import {COMMANDS} from '../src/cli/commands.js';
import {Publisher} from '../src/cli/publish/publisher.js';
import {envName} from '../src/cli/shared/settings.js';
import {
  DeflateCodec,
  KeyedStore,
  LogClient,
  expandRecord,
} from '../src/clients/index.js';
import type {KeyedListing, KeyedPage} from '../src/clients/index.js';
import {
  CONFIGURATION_STREAM,
  LogFollower,
  StateCodec,
  configurationRecord,
  makeDelta,
  parseConfiguration,
} from '../src/configuration/index.js';
import type {Publication, StateBody} from '../src/configuration/index.js';
import {
  Clock,
  availabilityZone,
  hostPort,
  offset,
  recordId,
  serviceName,
  version,
  vmName,
} from '../src/core/index.js';
import type {LogPage, LogPosition, Offset} from '../src/core/index.js';
import {EstateTracker} from '../src/daemons/direct/estate_tracker.js';
import type {Estate} from '../src/daemons/direct/index.js';
import {RankRegistry} from '../src/daemons/direct/rank_registry.js';
import {ZoneStore} from '../src/daemons/direct/zone_store.js';
import type {Upstream} from '../src/direct/index.js';
import {ERRORS} from '../src/errors/index.js';
import type {Fault} from '../src/errors/index.js';
import {decode, encode} from '../src/links/codec.js';
import {Handshake} from '../src/links/handshake.js';
import {challenge, hello, linkMessage, welcome} from '../src/links/messages.js';
import {identity} from '../src/membership/index.js';
import {Metrics, createLogger} from '../src/observability/index.js';
import {freePort} from './support/free_port.js';
import {position} from './support/positions.js';

/** Each byte of the nonces in the recorded handshake. */
const NONCE_BYTE = 7;

vi.mock('node:crypto', async original => ({
  ...(await original<object>()),
  randomBytes: (size: number) => Buffer.alloc(size, NONCE_BYTE),
}));

/** Reads a recorded file. */
function recorded<T>(name: string): T {
  const url = new URL(`__recorded__/${name}.json`, import.meta.url);
  return JSON.parse(readFileSync(url, 'utf8')) as T;
}

/** Reads a file of the repository. */
const source = (path: string) =>
  readFileSync(new URL(`../${path}`, import.meta.url), 'utf8');

const hex = (bytes: Uint8Array) => Buffer.from(bytes).toString('hex');
const fromHex = (text: string) => new Uint8Array(Buffer.from(text, 'hex'));

/** Converts a value to JSON, with bytes as `{hex}`. */
function plain(value: unknown): unknown {
  if (value instanceof Uint8Array) return {hex: hex(value)};
  if (Array.isArray(value)) return value.map(plain);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value);
  return Object.fromEntries(entries.map(([key, item]) => [key, plain(item)]));
}

interface RecordedMessage {
  readonly name: string;
  readonly frame: string;
  readonly value: {readonly type: string};
}

interface RecordedLinks {
  readonly types: readonly string[];
  readonly open: readonly RecordedMessage[];
  readonly handshake: readonly RecordedMessage[];
  readonly exchange: {
    readonly linkKey: string;
    readonly nonceByte: number;
    readonly dialling: unknown;
    readonly accepting: unknown;
    readonly challenge: string;
    readonly hello: string;
    readonly welcome: string;
  };
  readonly delta: {
    readonly baseVersion: number;
    readonly base: string;
    readonly text: string;
    readonly parts: string;
  };
}

describe('link messages', () => {
  const links = recorded<RecordedLinks>('link_messages');
  const opening: Readonly<Record<string, z.ZodType<object>>> = {
    challenge,
    hello,
    welcome,
  };

  function checkMessage(
    schema: z.ZodType<object>,
    {name, frame, value}: RecordedMessage,
  ): void {
    let decoded: object;
    try {
      decoded = decode(schema, fromHex(frame));
    } catch (thrown) {
      throw new Error(`${name}: cannot decode the recorded frame: ${thrown}`);
    }
    expect(plain(decoded), name).toEqual(value);
    expect(hex(encode(decoded)), name).toBe(frame);
  }

  it('have the recorded types', () => {
    const types = linkMessage.options.flatMap(({shape}) => [
      ...shape.type.values,
    ]);
    expect(types.sort()).toEqual([...links.types].sort());
    const sampled = new Set(links.open.map(({value}) => value.type));
    expect([...sampled].sort()).toEqual([...links.types].sort());
  });

  it.each(links.open)('$name: decodes and encodes as recorded', message => {
    checkMessage(linkMessage, message);
  });

  it.each(links.handshake)(
    '$name: decodes and encodes as recorded',
    message => {
      checkMessage(opening[message.value.type]!, message);
    },
  );

  it('open a link with the recorded frames', () => {
    const {exchange} = links;
    expect(exchange.nonceByte).toBe(NONCE_BYTE);
    const dialling = identity.parse(exchange.dialling);
    const accepting = identity.parse(exchange.accepting);
    const dialer = new Handshake(exchange.linkKey, dialling);
    const acceptor = new Handshake(exchange.linkKey, accepting);
    expect(hex(acceptor.challenge())).toBe(exchange.challenge);
    const answer = dialer.answerChallenge(fromHex(exchange.challenge));
    expect(hex(answer)).toBe(exchange.hello);
    const admitted = acceptor.verifyHello(fromHex(exchange.hello));
    expect(hex(admitted.reply)).toBe(exchange.welcome);
    expect(admitted.peer).toEqual(exchange.dialling);
    const confirmed = dialer.verifyWelcome(fromHex(exchange.welcome));
    expect(confirmed).toEqual(exchange.accepting);
  });

  it('carry configuration deltas of the recorded form', () => {
    const {baseVersion, base, text, parts} = links.delta;
    expect(JSON.stringify(makeDelta(base, text))).toBe(parts);
    const frame = links.open.find(
      ({name}) => name === 'configuration_state, delta',
    )!.frame;
    const message = decode(linkMessage, fromHex(frame));
    const {body} = message as {body?: StateBody};
    const own = {
      version: version(baseVersion),
      text: base,
      author: '',
      publicationId: recordId(''),
      foldedTo: offset(0),
    };
    const codec = new StateCodec(new DeflateCodec());
    expect(codec.unpack(body!, own)).toBe(text);
  });
});

interface RecordedPut {
  readonly topic: string;
  readonly key: string;
  readonly value: string;
}

interface RecordedStores {
  /** Records of the log; the expanded ones are as a reader gets them. */
  readonly log: {
    readonly configurationStream: string;
    readonly claimsStream: string;
    readonly publication: string;
    readonly publicationExpanded: string;
    readonly checkpoint: string;
    readonly checkpointDeflated: string;
    readonly recovery: string;
    readonly recoveryExpanded: string;
    readonly claims: string;
  };
  readonly direct: {
    readonly ownEntry: RecordedPut;
    readonly otherEntries: readonly Omit<RecordedPut, 'topic'>[];
    readonly entries: number;
    readonly sameZone: number;
    readonly rank: RecordedPut;
    readonly coordinator: RecordedPut;
  };
  readonly relay: {
    readonly question: string;
    readonly body: string;
    readonly next: number;
    readonly records: readonly {
      readonly key: string;
      readonly offset: number;
      readonly value: string | null;
    }[];
  };
}

/** A log in memory. */
class MemoryLog extends LogClient {
  readonly appended: object[] = [];

  constructor(private readonly earliest = 0) {
    super();
  }

  read(from: Offset): ResultAsync<LogPage, Fault> {
    const records = this.appended
      .map((data, i) => ({offset: offset(this.earliest + i), data}))
      .filter(record => record.offset >= from);
    const next = offset(this.earliest + this.appended.length);
    return okAsync({earliest: offset(this.earliest), next, records});
  }

  append(data: object): ResultAsync<Offset, Fault> {
    this.appended.push(data);
    return okAsync(offset(this.earliest + this.appended.length - 1));
  }
}

/**
 * Inflates the text of a log record. Deflated bytes may differ between versions
 * of zlib, so the texts are compared.
 */
function inflated(record: object): string {
  const {deflated} = record as {deflated?: string};
  if (deflated === undefined) throw new Error('record without `deflated`');
  const text = inflateRawSync(Buffer.from(deflated, 'base64')).toString('utf8');
  return JSON.stringify({...record, deflated: text});
}

const fromJson = (text: string): object => JSON.parse(text) as object;

describe('records of the log', () => {
  const {log} = recorded<RecordedStores>('stored_records');

  /** The recorded publication, as this build reads it. */
  function readPublication(): Publication {
    const data = expandRecord(fromJson(log.publication));
    const record = configurationRecord.parse(data);
    if (record.kind !== 'publication') throw new Error('not a publication');
    return record;
  }

  it('lie in the recorded streams', () => {
    expect(CONFIGURATION_STREAM).toBe(log.configurationStream);
    expect(CLAIMS_STREAM).toBe(log.claimsStream);
  });

  it.each([
    ['publication', log.publication, log.publicationExpanded],
    ['checkpoint', log.checkpointDeflated, log.checkpoint],
    ['recovery', log.recovery, log.recoveryExpanded],
  ])('%s: is read as recorded', (_name, stored, expanded) => {
    const record = configurationRecord.parse(expandRecord(fromJson(stored)));
    expect(JSON.stringify(record)).toBe(expanded);
  });

  it('publication: is written as recorded', async () => {
    const memory = new MemoryLog();
    const publication = readPublication();
    const verdict = await new Publisher(memory).publish(publication);
    expect(verdict._unsafeUnwrap()).toEqual({accepted: true, version: 1});
    expect(memory.appended.map(inflated)).toEqual([
      inflated(fromJson(log.publication)),
    ]);
  });

  it('checkpoint: is written as recorded', () => {
    const {id} = fromJson(log.checkpoint) as {id: string};
    const follower = new LogFollower();
    const data = expandRecord(fromJson(log.publication));
    const records = [{offset: offset(0), data}];
    follower.applyPage({earliest: offset(0), next: offset(1), records});
    const checkpoint = follower.history.checkpoint(recordId(id));
    expect(JSON.stringify(checkpoint)).toBe(log.checkpoint);
  });

  it('checkpoint of a recovery: is written as recorded', async () => {
    const stored = fromJson(log.recovery) as {
      id: string;
      version: number;
      foldedTo: number;
    };
    const memory = new MemoryLog(stored.foldedTo + 1);
    const publisher = new Publisher(memory);
    expect((await publisher.catchUp()).isErr()).toBe(true);
    const recovery = await publisher.recover({
      ...readPublication(),
      id: recordId(stored.id),
      base: version(stored.version - 1),
    });
    expect(recovery.isOk()).toBe(true);
    expect(memory.appended.map(inflated)).toEqual([
      inflated(fromJson(log.recovery)),
    ]);
  });

  it('claims: are read and written as recorded', () => {
    const record = claimRecord.parse(fromJson(log.claims));
    expect(JSON.stringify(record)).toBe(log.claims);
    const batcher = new ClaimBatcher();
    record.claims.forEach(claim => batcher.addClaim(claim));
    batcher.addReleases(record.releases);
    const written = batcher.next(record.wall, () => record.id);
    expect(JSON.stringify(written)).toBe(log.claims);
  });
});

/** A store in memory: fixed listings, at most one page, and what was put. */
class MemoryStore extends KeyedStore {
  readonly puts: RecordedPut[] = [];

  constructor(
    private readonly listings: ReadonlyMap<string, KeyedListing> = new Map(),
    private readonly page?: KeyedPage,
  ) {
    super();
  }

  list(topic: string): ResultAsync<KeyedListing, Fault> {
    const none = {records: [], startedAt: position(0)};
    return okAsync(this.listings.get(topic) ?? none);
  }

  read(): ResultAsync<KeyedPage, Fault> {
    if (this.page !== undefined) return okAsync(this.page);
    return new ResultAsync(new Promise(() => {}));
  }

  put(
    topic: string,
    key: string,
    value: Uint8Array,
  ): ResultAsync<LogPosition, Fault> {
    this.puts.push({topic, key, value: Buffer.from(value).toString('utf8')});
    return okAsync(position(this.puts.length - 1));
  }
}

/** Makes the listing of a topic from recorded puts. */
function listingOf(puts: readonly Omit<RecordedPut, 'topic'>[]): KeyedListing {
  const records = puts.map(({key, value}, i) => ({
    key,
    position: position(i),
    value: Buffer.from(value),
  }));
  return {records, startedAt: position(0)};
}

class FixedClock extends Clock {
  now(): number {
    return 5_000;
  }

  wall(): number {
    return 1_700_000_000_123;
  }
}

describe('records of the direct deployment', () => {
  const {direct} = recorded<RecordedStores>('stored_records');
  const [group = '', rank = ''] = direct.rank.key.split('/');
  const known = fromJson(direct.rank.value) as {
    sidecar: string;
    engine: string;
    pace: number;
  };

  /** Reads the recorded rank through a registry. */
  async function readRank(store = new MemoryStore()) {
    const {topic} = direct.rank;
    const listings = new Map([[topic, listingOf([direct.rank])]]);
    const reader = new RankRegistry(new MemoryStore(listings), topic);
    const ranks = (await reader.ranks(group))._unsafeUnwrap();
    const record = ranks.get(Number(rank));
    if (record === undefined) throw new Error('rank record was not read');
    const {sidecar, engine, pace} = record;
    return {
      record: {sidecar, engine, pace},
      registry: new RankRegistry(store, topic),
    };
  }

  it('rank: is read as recorded', async () => {
    const {record} = await readRank();
    expect(Object.values(record)).toEqual([
      known.sidecar,
      known.engine,
      known.pace,
    ]);
  });

  it('rank and coordinator: are written as recorded', async () => {
    const store = new MemoryStore();
    const {record, registry} = await readRank(store);
    await registry.register(group, Number(rank), record);
    await registry.claim(group, record, 0);
    expect(store.puts).toEqual([direct.rank, direct.coordinator]);
  });

  it('entry and rank: are read and written by a view as recorded', async () => {
    const own = fromJson(direct.ownEntry.value) as {
      availabilityZone: string;
      relay: string;
    };
    const topics = {
      configuration: 'configuration',
      upstreams: 'upstreams',
      entries: direct.ownEntry.topic,
      ranks: direct.rank.topic,
      quarantines: 'quarantines',
    };
    const store = new MemoryStore(
      new Map([
        [topics.entries, listingOf(direct.otherEntries)],
        [topics.ranks, listingOf([direct.rank, direct.coordinator])],
      ]),
    );
    const parts: Pick<Estate, 'store' | 'topics'> = {store, topics};
    const lines: string[] = [];
    const view = new EstateTracker(
      {
        vm: vmName(direct.ownEntry.key),
        availabilityZone: availabilityZone(own.availabilityZone),
        relay: own.relay,
      },
      {configuration: 2_000, leavingUpstream: 2_000},
      parts as Estate,
      new FixedClock(),
      createLogger('info', line => lines.push(line)),
      new Metrics(),
      {
        onConfiguration: () => undefined,
        onOperatorRecord: () => undefined,
        onUpstreamRemoved: () => undefined,
        onJoined: () => undefined,
        onShare: () => undefined,
        onPeers: () => undefined,
        onPeerMessage: () => undefined,
        onQuarantines: () => undefined,
        onQuarantinesLost: () => undefined,
      },
    );
    view.start();
    const upstream = {
      registration: {address: known.engine, service: serviceName('depot')},
    } as Upstream;
    try {
      await vi.waitFor(() => {
        expect(store.puts).toEqual([direct.ownEntry]);
        expect(view.entryCount).toBe(direct.entries);
        expect(view.groupOf(upstream)).toBe(group);
        expect(view.slowdownOf(upstream)).toBe(known.pace);
      }, 10_000);
    } finally {
      view.stop();
    }
    const entries = lines.filter(line => line.includes('event=entries'));
    expect(entries).toHaveLength(1);
    expect(entries[0]).toContain(`same_zone=${direct.sameZone}`);
  });
});

describe('relay of a zone', () => {
  const {relay} = recorded<RecordedStores>('stored_records');
  const params = new URLSearchParams(relay.question.split('?')[1]);
  const topic = params.get('topic') ?? '';
  const from = position(Number(params.get('from')));
  const wait = Number(params.get('wait'));
  const timings = new Map([[topic, {bound: 30_000, busySpacing: 12_000}]]);
  const logger = createLogger('error', () => undefined);
  const page: KeyedPage = {
    kind: 'records',
    next: position(relay.next),
    records: relay.records.map(({key, offset: at, value}) => ({
      key,
      position: position(at),
      value: value === null ? undefined : Buffer.from(value),
    })),
  };

  it('answers the recorded question with the recorded body', async () => {
    const clock = new FixedClock();
    const store = new MemoryStore(new Map(), page);
    const zone = new ZoneStore(store, vmName('a'), timings, clock, logger);
    const address = hostPort('127.0.0.1', await freePort());
    await zone.listen(address);
    try {
      expect((await zone.read(topic, from, wait)).isOk()).toBe(true);
      const res = await fetch(`http://${address}${relay.question}`);
      expect(res.status).toBe(200);
      expect(hex(new Uint8Array(await res.arrayBuffer()))).toBe(relay.body);
    } finally {
      await zone.close();
    }
  });

  it('asks the recorded question and reads the recorded body', async () => {
    const questions: (string | undefined)[] = [];
    const server = createServer((req, res) => {
      questions.push(req.url);
      res.end(fromHex(relay.body));
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const zone = new ZoneStore(
      new MemoryStore(),
      vmName('z'),
      timings,
      new FixedClock(),
      logger,
    );
    const address = hostPort('127.0.0.1', port);
    zone.setEntries(
      ['a', 'b', 'c', 'd', 'e', 'f'].map(name => ({
        name: vmName(name),
        relay: address,
      })),
      () => true,
    );
    try {
      const heard = (await zone.read(topic, from, wait))._unsafeUnwrap();
      if (heard.kind !== 'records') throw new Error('no records were read');
      expect(questions).toEqual([relay.question]);
      expect(heard.next).toEqual(position(relay.next));
      const records = heard.records.map(({key, position: at, value}) => [
        key,
        at.offset,
        value === undefined ? null : Buffer.from(value).toString('utf8'),
      ]);
      expect(records).toEqual(
        relay.records.map(({key, offset: at, value}) => [key, at, value]),
      );
    } finally {
      await zone.close();
      server.closeAllConnections();
      server.close();
    }
  });
});

interface RecordedSettings {
  /** Sample values by the names of the template. */
  readonly values: Readonly<Record<string, unknown>>;
  readonly rendered: string;
  /** Settings that later builds render after the recorded ones. */
  readonly added: readonly (readonly [string, unknown])[];
  /** Decoded values of these settings. */
  readonly addedDecoded: object;
  /** Decoded values by the names in the file. */
  readonly decoded: object;
  /** The same with null for every value that may be absent. */
  readonly absent: {readonly rendered: string; readonly decoded: object};
  /** SHA-256 of each parsed example configuration. */
  readonly examples: Readonly<Record<string, string>>;
}

describe('settings', () => {
  const settings = recorded<RecordedSettings>('settings');

  /** Decodes a settings file, with the values under the names of the file. */
  function decoded(text: string): object {
    const given = decodeSettings(text);
    return {
      vm: given.vm,
      availabilityZone: given.availabilityZone,
      ip: given.ip,
      callers: given.callers ?? null,
      readiness: given.readiness ?? null,
      internalPorts: given.internalPorts,
      operatorPort: given.operatorPort,
      linkKey: given.linkKey,
      upstream: given.upstream?.address ?? null,
      upstreamService: given.upstream?.service ?? null,
      store: given.store,
      retryRatio: given.retryBound.ratio,
      retrySlack: given.retryBound.slack,
      retryWindowMs: given.retryBound.window,
      configurationAppliesMs: given.stalenessBounds.configuration,
      upstreamLeavesMs: given.stalenessBounds.leavingUpstream,
      graceMs: given.grace,
      coldRateFactor: given.coldRateBound?.factor,
      coldRateSlack: given.coldRateBound?.slack,
      zoneEvacuatesMs: given.stalenessBounds.evacuation ?? null,
    };
  }

  it('are rendered as recorded', () => {
    const rendered = source('deploy/settings.json').replaceAll(
      /\{\{([^|}]+)\|json\}\}/g,
      (_, name: string) => JSON.stringify(settings.values[name]),
    );
    const added = settings.added.map(
      ([name, value]) => `,\n  "${name}": ${JSON.stringify(value)}`,
    );
    const end = '\n}\n';
    expect(settings.rendered.endsWith(end)).toBe(true);
    const recordedPart = settings.rendered.slice(0, -end.length);
    expect(rendered).toBe(`${recordedPart}${added.join('')}${end}`);
    const {decoded: before, addedDecoded} = settings;
    expect(decoded(rendered)).toEqual({...before, ...addedDecoded});
  });

  it('are decoded as recorded', () => {
    expect(decoded(settings.rendered)).toEqual(settings.decoded);
    const {absent} = settings;
    expect(decoded(absent.rendered)).toEqual(absent.decoded);
  });

  it('of the examples are parsed as recorded', () => {
    const files = readdirSync(new URL('../examples', import.meta.url));
    const hashes = files
      .filter(file => file.endsWith('.yaml'))
      .map(file => {
        const parsed = parseConfiguration(source(`examples/${file}`));
        const text = JSON.stringify(parsed._unsafeUnwrap());
        return [file, createHash('sha256').update(text).digest('hex')];
      });
    expect(Object.fromEntries(hashes)).toEqual(settings.examples);
  });
});

interface RecordedNames {
  /** HTTP status of each error. */
  readonly errors: Readonly<Record<string, number>>;
  readonly metrics: readonly object[];
  /** Flags of each command, by its usage. */
  readonly commands: Readonly<Record<string, readonly object[]>>;
  readonly topics: readonly string[];
  readonly readinessPath: string;
}

describe('names', () => {
  const names = recorded<RecordedNames>('names');

  it('of errors are as recorded, with their status', () => {
    const errors = Object.entries(ERRORS).map(([name, error]) => [
      name,
      error.status,
    ]);
    expect(Object.fromEntries(errors)).toEqual(names.errors);
  });

  it('of metrics are as recorded, with type, help and labels', async () => {
    const {registry} = new Metrics();
    const metrics = (await registry.getMetricsAsJSON()).map(metric => {
      const {name, type, help} = metric;
      // Not in the types of prom-client.
      const {labelNames: labels, upperBounds: buckets} =
        registry.getSingleMetric(name) as unknown as {
          labelNames: readonly string[];
          upperBounds?: readonly number[];
        };
      return {name, type, help, labels, ...(buckets && {buckets})};
    });
    expect(metrics).toEqual(names.metrics);
  });

  it('of commands, flags and their variables are as recorded', () => {
    const commands = COMMANDS.map(({usage, flags}) => [
      usage,
      Object.values(flags).map(flag => ({
        flag: flag.name,
        variable: envName(flag),
        takesValue: flag.value !== undefined,
        fallback: flag.fallback ?? null,
      })),
    ]);
    expect(Object.fromEntries(commands)).toEqual(names.commands);
  });

  it('of topics and paths of the platform are as recorded', () => {
    const estate = new PlatformEstate('127.0.0.1:1');
    expect(Object.values(estate.topics)).toEqual(names.topics);
    expect(estate.readinessPath).toBe(names.readinessPath);
  });
});
