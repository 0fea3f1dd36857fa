// Stand-in of the platform's store: topics with one partition each, kept in memory.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const HOST = '127.0.0.1';
/** Time of an answer, as on the sheets. */
const ANSWER_MS = 4;

export class StoreStandin {
  constructor() {
    /** Topic to its records: `{key, value}` of keyed topics, `{raw}` of others. */
    this.topics = new Map();
    this.waiters = new Set();
    this.calls = [];
    /** Called with each call; returns true if it has taken care of the answer. */
    this.intercept = undefined;
    this.server = http.createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    return new Promise(resolve => this.server.close(resolve));
  }

  /** Writes a record, as the operator or a replica does. No value drops the key. */
  put(topic, key, value) {
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    return this.append(topic, [{key, value: bytes}]);
  }

  append(topic, records) {
    const all = this.topics.get(topic) ?? [];
    this.topics.set(topic, all);
    const at = all.length;
    all.push(...records);
    for (const wake of [...this.waiters]) wake();
    return at;
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(req.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    const call = {
      at: Date.now(),
      method: req.method,
      path: url.pathname,
      query,
      body,
    };
    this.calls.push(call);
    if (this.intercept?.(call, req, res)) return;
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
    const records = this.topics.get(query.Topic) ?? [];
    const isKeyed = (query.Topic ?? '').startsWith('keyed.');
    switch (`${req.method} ${url.pathname}`) {
      case 'GET /api/log-newest':
        return json(res, 200, newest(records, query.After));
      case 'GET /api/log-read':
        return this.read(query, res);
      case 'POST /api/log-append': {
        const all = unframe(body).map(raw => (isKeyed ? keyed(raw) : {raw}));
        const at = this.append(query.Topic, all);
        return json(res, 200, {Offset: at, End: at + all.length});
      }
      case 'POST /api/log-trim':
        return json(res, 200, {});
      default:
        return json(res, 404, {});
    }
  }

  async read({Topic, From, WaitMs}, res) {
    const from = Number(From);
    const end = Date.now() + Number(WaitMs ?? 0);
    while ((this.topics.get(Topic) ?? []).length <= from && Date.now() < end) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, end - Date.now());
        this.waiters.add(done);
      });
      if (res.destroyed) return;
    }
    const records = this.topics.get(Topic) ?? [];
    if (from > records.length) return json(res, 410, {First: 0});
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const rest = records.slice(from).map(frame);
    res.writeHead(200, {'content-type': 'application/octet-stream'});
    res.end(Buffer.concat([head, ...rest]));
  }
}

function json(res, status, value) {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(value));
}

function newest(records, after) {
  const last = new Map();
  records.forEach(({key, value}, at) => last.set(key, {value, at}));
  const keys = [...last.keys()]
    .filter(key => last.get(key).value.length > 0)
    .sort();
  const left = after === undefined ? keys : keys.filter(key => key > after);
  return {
    Items: left.slice(0, 500).map(key => ({
      Key: key,
      Value: last.get(key).value.toString('base64'),
      Offset: last.get(key).at,
    })),
    HasMore: left.length > 500,
    End: records.length,
  };
}

function unframe(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function keyed(raw) {
  const size = raw[0] ?? 0;
  return {
    key: raw.toString('utf8', 1, 1 + size),
    value: raw.subarray(1 + size),
  };
}

function frame({key, value, raw}) {
  const name = Buffer.from(key ?? '');
  const content =
    raw ?? Buffer.concat([Buffer.from([name.length]), name, value]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}
