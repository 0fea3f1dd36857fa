/* global Buffer, URL, setTimeout, clearTimeout */
/**
 * Stand-in of the platform's metadata store, as PROTOCOL.md describes it: a log
 * with keyed topics. It holds one partition a topic and loses nothing.
 */
import {createServer} from 'node:http';

const HEADER_BYTES = 16;

export class Store {
  topics = new Map();
  polls = new Set();
  appends = 0;
  server = createServer((req, res) => this.handle(req, res));

  async listen(host) {
    await new Promise(done => this.server.listen(0, host, done));
    return `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Appends a record of a keyed topic, as the operator or a replica does. */
  put(topic, key, value) {
    const name = Buffer.from(key, 'utf8');
    const bytes =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    return this.append(topic, [
      Buffer.concat([Buffer.from([name.length]), name, bytes]),
    ]);
  }

  records(topic) {
    let records = this.topics.get(topic);
    if (records === undefined) this.topics.set(topic, (records = []));
    return records;
  }

  append(topic, added) {
    const records = this.records(topic);
    const offset = records.length;
    records.push(...added);
    for (const poll of [...this.polls]) poll();
    return offset;
  }

  handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const topic = query.get('Topic') ?? '';
    if (url.pathname === '/api/log-append') this.onAppend(req, res, topic);
    else if (url.pathname === '/api/log-read') this.onRead(query, res, topic);
    else if (url.pathname === '/api/log-newest') this.onNewest(res, topic);
    else res.writeHead(404).end();
  }

  onAppend(req, res, topic) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      if (topic === 'keyed.op' || topic === 'keyed.servers') {
        res.writeHead(403).end();
        return;
      }
      const body = Buffer.concat(chunks);
      const added = [];
      for (let at = 0; at + 4 <= body.length;) {
        const length = body.readUInt32BE(at);
        added.push(body.subarray(at + 4, at + 4 + length));
        at += 4 + length;
      }
      this.appends += 1;
      const offset = this.append(topic, added);
      json(res, {Offset: offset, End: offset + added.length});
    });
  }

  onRead(query, res, topic) {
    const from = Number(query.get('From') ?? 0);
    const wait = Number(query.get('WaitMs') ?? 0);
    const respond = () => {
      const records = this.records(topic);
      const header = Buffer.alloc(HEADER_BYTES);
      header.writeBigUInt64BE(BigInt(records.length), 0);
      const parts = [header];
      for (const record of records.slice(from)) {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        parts.push(length, record);
      }
      const body = Buffer.concat(parts);
      res.writeHead(200, {'content-length': body.length}).end(body);
    };
    if (this.records(topic).length > from || wait === 0) {
      respond();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      this.polls.delete(poll);
      respond();
    };
    const poll = () => {
      if (this.records(topic).length > from) finish();
    };
    const timer = setTimeout(finish, wait);
    this.polls.add(poll);
    res.on('close', () => {
      clearTimeout(timer);
      this.polls.delete(poll);
    });
  }

  onNewest(res, topic) {
    const newest = new Map();
    this.records(topic).forEach((record, offset) => {
      const end = 1 + record[0];
      const key = record.subarray(1, end).toString('utf8');
      if (record.length === end) newest.delete(key);
      else newest.set(key, {value: record.subarray(end), offset});
    });
    const items = [...newest].map(([key, {value, offset}]) => ({
      Key: key,
      Value: value.toString('base64'),
      Offset: offset,
    }));
    json(res, {
      Items: items,
      HasMore: false,
      End: this.records(topic).length,
    });
  }
}

function json(res, value) {
  const body = Buffer.from(JSON.stringify(value));
  res
    .writeHead(200, {
      'content-type': 'application/json',
      'content-length': body.length,
    })
    .end(body);
}
