// Stand-in of a replica: reads requests, lets a script answer them, registers itself.
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';

const HOST = '127.0.0.1';

export class Replica {
  /**
   * @param one - the case
   * @param id - its id
   * @param answer - answers a request: `({method, path, headers, body, socket})`
   * @param change - fields of its registration
   */
  constructor(one, id, answer, change = {}) {
    this.one = one;
    this.id = id;
    this.answer = answer;
    this.change = change;
    /** Requests that reached it, in order. */
    this.received = [];
    this.sockets = new Set();
    this.sequence = 0;
    this.born = Date.now();
    this.server = net.createServer(socket => this.accept(socket));
    one.replicas.push(this);
    one.closers.push(() => this.close());
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, HOST, resolve));
    this.address = `${HOST}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), 1_200);
    this.one.record(`replica ${this.id} at ${this.address}`);
  }

  /** Writes its entry, unless it is cut off from the store. */
  beat() {
    this.sequence += 1;
    if (this.isCut) return;
    this.one.store.put('keyed.servers', this.id, {
      Service: 'app',
      Address: this.address,
      Zone: 'a',
      Version: '1',
      Slots: 6,
      State: 'ready',
      ColdRemainingMs: 0,
      Sequence: this.sequence,
      born: this.born,
      ...this.change,
    });
  }

  /** Ends like a killed process: its connections are reset, its port refuses. */
  crash() {
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.server.close();
    this.one.record(`replica ${this.id} crashed`);
  }

  /** Starts again after a crash, under the same id and at the same address. */
  async restart() {
    const port = Number(this.address.split(':')[1]);
    await new Promise(resolve => this.server.listen(port, HOST, resolve));
    this.born = Date.now();
    this.sequence = 0;
    this.beat();
    this.timer = setInterval(() => this.beat(), 1_200);
    this.one.record(`replica ${this.id} is back`);
  }

  close() {
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.destroy();
    return new Promise(resolve => this.server.close(resolve));
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const end = bytes.indexOf('\r\n\r\n');
        if (end === -1) return;
        const [line, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
        const headers = {};
        for (const text of lines) {
          const colon = text.indexOf(':');
          headers[text.slice(0, colon).toLowerCase()] = text
            .slice(colon + 1)
            .trim();
        }
        const size = Number(headers['content-length'] ?? 0);
        if (bytes.length < end + 4 + size) return;
        const body = bytes.subarray(end + 4, end + 4 + size);
        bytes = bytes.subarray(end + 4 + size);
        const [method, path] = line.split(' ');
        const req = {at: Date.now(), method, path, headers, body, socket};
        this.serve(req);
      }
    });
  }

  serve(req) {
    const {headers, socket} = req;
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.one.record(
        `${this.id} got ${headers['request-id']} for ${expected}: 421`,
      );
      socket.write(
        head(req, '421 Misdirected Request', [
          'Not-Executed: 1',
          'Content-Length: 0',
        ]),
      );
      return;
    }
    if (req.path === '/health') {
      socket.write(
        `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    this.received.push(req);
    this.answer(req);
  }
}

/** Returns the head of an answer with further lines. */
export function head(req, status, lines) {
  const id = req.headers['request-id'];
  return [`HTTP/1.1 ${status}`, `Request-Id: ${id}`, ...lines, '', ''].join(
    '\r\n',
  );
}

/** Returns a whole sealed answer. */
export function sealed(req, body, {status = '200 OK', lines = []} = {}) {
  const further = [
    `Response-Seal: s.${body.length}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return head(req, status, [...further, ...lines]) + body;
}

/**
 * Answers with a body of 800 bytes after the usual work; like a real replica it works on
 * `slots` requests at once, queues a few more, and turns the others away.
 */
export function sound(
  workMs = 40,
  {slots = 6, queue = 4, lines = () => []} = {},
) {
  const waiting = [];
  let running = 0;
  const next = () => {
    while (running < slots && waiting.length > 0) {
      const req = waiting.shift();
      if (req.socket.destroyed) continue;
      running += 1;
      req.hasRun = true;
      setTimeout(() => {
        running -= 1;
        const answer = sealed(req, 'x'.repeat(800), {lines: lines()});
        if (!req.socket.destroyed) req.socket.write(answer);
        next();
      }, workMs);
    }
  };
  return req => {
    if (running >= slots && waiting.length >= queue) {
      const further = ['Not-Executed: 1', 'Content-Length: 0', ...lines()];
      req.socket.write(head(req, '503 Service Unavailable', further));
      return;
    }
    waiting.push(req);
    next();
  };
}
