/* global Buffer, setInterval, clearInterval */
/**
 * Stand-in of a replica. It reads requests with a length or none, one at a time
 * on a connection, and hands each to `answer`, which writes to the socket.
 */
import {createServer} from 'node:net';

const HEARTBEAT_MS = 1_200;

export class Replica {
  ran = [];
  sockets = new Set();
  sequence = 0;
  born = Date.now();

  /**
   * @param id - id of the replica
   * @param service - its service
   * @param zone - its zone
   * @param answer - called with each request that it runs and a `Reply`
   */
  constructor(id, service, zone, answer) {
    Object.assign(this, {id, service, zone, answer});
    this.server = createServer(socket => this.accept(socket));
  }

  async listen(host) {
    await new Promise(done => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Registers the replica in the store, again with each heartbeat. */
  register(store, slots = 6) {
    const beat = () => {
      this.sequence += 1;
      store.put('keyed.servers', this.id, {
        Service: this.service,
        Address: this.address,
        Zone: this.zone,
        Version: '1',
        Slots: slots,
        State: 'ready',
        ColdRemainingMs: 0,
        Sequence: this.sequence,
        born: this.born,
      });
    };
    beat();
    this.beats = setInterval(beat, HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.beats);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    let pending = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      pending = Buffer.concat([pending, chunk]);
      for (;;) {
        const end = pending.indexOf('\r\n\r\n');
        if (end === -1) return;
        const [first, ...lines] = pending
          .subarray(0, end)
          .toString('latin1')
          .split('\r\n');
        const headers = {};
        for (const line of lines) {
          const at = line.indexOf(':');
          headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
        }
        const length = Number(headers['content-length'] ?? 0);
        if (pending.length < end + 4 + length) return;
        pending = pending.subarray(end + 4 + length);
        const [method, path] = first.split(' ');
        this.serve(socket, {method, path, headers});
      }
    });
  }

  serve(socket, request) {
    const {headers} = request;
    const id = headers['request-id'] ?? '';
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      socket.write(
        `HTTP/1.1 421 Misdirected\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    this.ran.push(id);
    this.answer(request, {
      socket,
      id,
      seal: `seal.${this.id}.${id}`,
      /** Writes a whole answer of the replica's own. */
      whole: (body, status = '200 OK', more = '') =>
        socket.write(
          `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\nResponse-Seal: seal.${this.id}.${id}\r\n${more}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
        ),
    });
  }
}
