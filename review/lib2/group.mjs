/**
 * Stand-in of a group of model replicas, as PROTOCOL.md describes them: ranks that
 * execute each pass together, with maps, holds and armings. Orders carry a fencing
 * token that isn't checked, as where RequireFence doesn't apply. An idle group
 * makes no passes.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearInterval, setInterval} from 'node:timers';

const HEARTBEAT_MS = 1_200;

export class Group {
  step = 0;
  epoch = 1;
  /** Passes that began while two ranks had different maps. */
  mixed = [];
  orders = [];
  born = Date.now();

  /**
   * @param options - service, zones (one a rank), passMs, copyMs, experts and
   * picks: how often each expert is chosen in a pass
   */
  constructor(options) {
    Object.assign(this, options);
    this.ranks = this.zones.map((zone, rank) => new Rank(this, rank, zone));
    this.timer = setInterval(() => this.pass(), this.passMs);
  }

  async listen(host, store) {
    for (const rank of this.ranks) await rank.listen(host, store);
  }

  close() {
    clearInterval(this.timer);
    for (const rank of this.ranks) rank.close();
  }

  /** Carries out the order of a rank that got no answer. */
  carryOut(rank) {
    const {late} = this.ranks[rank];
    return this.ranks[rank].apply(late);
  }

  get isIdle() {
    return this.ranks.every(rank => rank.running.size === 0);
  }

  pass() {
    if (this.isIdle) return;
    const next = this.step + 1;
    if (this.ranks.some(({held}) => held === next)) return;
    this.step = next;
    for (const rank of this.ranks) {
      if (rank.armed?.step !== next) continue;
      rank.map = rank.armed.version;
      rank.armed = rank.prepared = null;
    }
    const maps = this.ranks.map(({map}) => map);
    if (new Set(maps).size > 1) {
      this.mixed.push({step: next, maps});
      this.onMixed?.(next, maps);
    }
    for (const rank of this.ranks) rank.work();
  }
}

class Rank {
  map = 0;
  prepared = null;
  highest = 0;
  armed = null;
  held = null;
  sequence = 0;
  running = new Set();

  constructor(group, rank, zone) {
    Object.assign(this, {group, rank, zone, id: `i-rank-${rank}`});
    this.counts = group.picks.map(() => 0);
    this.server = createServer((req, res) => this.handle(req, res));
  }

  async listen(host, store) {
    await new Promise(done => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      store.put('keyed.servers', this.id, {
        Service: this.group.service,
        Address: this.address,
        Zone: this.zone,
        Version: '1',
        Slots: 8,
        State: 'ready',
        ColdRemainingMs: 0,
        Sequence: sequence,
        born: this.group.born,
      });
    };
    beat();
    this.beats = setInterval(beat, HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** One pass of this rank: an event of each request that it runs. */
  work() {
    this.group.picks.forEach((n, i) => (this.counts[i] += n));
    for (const request of [...this.running]) {
      request.sent += 1;
      request.res.write(`id: ${request.sent}\ndata: token\n\n`);
      if (request.sent < this.group.events) continue;
      this.running.delete(request);
      request.res.end();
    }
  }

  handle(req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      if (req.url === '/api/report') json(res, 200, this.report());
      else if (req.url.startsWith('/api/picked')) this.picked(req, res);
      else if (req.url === '/api/order') this.onOrder(JSON.parse(body), res);
      else this.run(req, res);
    });
  }

  run(req, res) {
    const id = req.headers['request-id'] ?? '';
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'Request-Id': id, 'Not-Executed': '1'}).end();
      return;
    }
    res.writeHead(200, {'Request-Id': id, 'Response-Seal': `seal.${id}`});
    const request = {res, sent: 0};
    this.running.add(request);
    res.on('close', () => this.running.delete(request));
  }

  report() {
    const {group, rank} = this;
    const isCopied = Date.now() >= (this.copiedAt ?? 0);
    return {
      born: group.born,
      Stage: 'prefill_decode',
      Models: [{Name: 'm', Version: 1, Adapters: []}],
      Busy: false,
      Sequence: this.sequence,
      Queued: 0,
      Running: this.running.size,
      KvUsed: 0,
      KvTotal: 186_666,
      Handles: 0,
      group: {Name: 'g0', epoch: group.epoch, rank, State: 'open'},
      size: group.ranks.length,
      step: group.step,
      Map: this.map,
      Prepared: isCopied ? this.prepared : null,
      Armed: this.armed?.version ?? null,
      held: this.held,
      pace: 1,
    };
  }

  picked(req, res) {
    const {step, epoch} = this.group;
    if (!req.url.includes('Lists')) {
      json(res, 200, {step, epoch, Counts: this.counts});
      return;
    }
    const lists = this.lists?.map(set => set[this.rank]) ?? [];
    json(res, 200, {
      step,
      epoch,
      Map: {Version: this.map, Experts: lists},
      Prepared: null,
    });
  }

  onOrder(order, res) {
    this.group.orders.push(order.Operation);
    if (this.group.isLate?.(this.rank, order) === true) {
      // No answer; `group.carryOut` executes it seconds later, after newer orders.
      this.late = order;
      return;
    }
    const status = this.apply(order);
    this.group.onOrder?.(this.rank, order, status);
    json(res, status, {});
  }

  apply({Operation, Version, Map, step, epoch}) {
    const {group} = this;
    if (epoch !== undefined && epoch !== group.epoch) return 409;
    switch (Operation) {
      case 'prepare':
        if (this.prepared === Version) return 200;
        if (Version <= this.highest || this.armed !== null) return 409;
        this.highest = this.prepared = Version;
        this.lists = Map;
        this.copiedAt = Date.now() + group.copyMs;
        break;
      case 'arm':
        if (this.armed?.version === Version) return 200;
        if (this.prepared !== Version || Date.now() < this.copiedAt) return 409;
        if (group.step >= step) return 409;
        this.armed = {version: Version, step};
        break;
      case 'disarm':
        if (this.map === Version) return 409;
        if (this.armed?.version !== Version) return 200;
        this.armed = null;
        break;
      case 'Hold':
        if (this.held === step) return 200;
        if (this.held !== null || group.step >= step) return 409;
        this.held = step;
        break;
      case 'go':
        if (this.held !== step) return 200;
        this.held = null;
        break;
      default:
        return 400;
    }
    this.sequence += 1;
    return 202;
  }
}

function json(res, status, value) {
  const body = Buffer.from(JSON.stringify(value));
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
    })
    .end(body);
}
