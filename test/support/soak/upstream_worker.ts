import {parentPort, workerData} from 'node:worker_threads';

import {Chance} from '../../../src/core/index.js';
import {RequestRecord, filler} from './records.js';
import {SoakUpstream} from './soak_upstream.js';
import type {UpstreamHost} from './soak_upstream.js';
import type {
  UpstreamOrder,
  UpstreamReport,
  UpstreamWorkerData,
} from './upstream_messages.js';

const {mix, seed, timeOrigin} = workerData as UpstreamWorkerData;
const port = parentPort!;
const records = new Map<string, RequestRecord>();
const upstreams = new Map<string, SoakUpstream>();
/** From times of this thread to those of the soak, ms. */
const shift = performance.timeOrigin - timeOrigin;
let failsFrom = Infinity;

/** Interval at which the thread looks whether it is held up. */
const WATCH_INTERVAL_MS = 50;
/** Gap between two looks from which on arrivals are not judged by the clock. */
const STALL_MS = 250;

const tell = (report: UpstreamReport) => port.postMessage(report);

const host: UpstreamHost = {
  mix,
  chance: new Chance(seed + 1),
  get isFailing() {
    return performance.now() + shift >= failsFrom;
  },
  find(path) {
    const known = records.get(path) ?? RequestRecord.ofPath(path);
    if (known !== undefined) records.set(path, known);
    return known;
  },
  onRun({id, path}, run) {
    const {arrivedAt, endedAt} = run;
    const times = {
      arrivedAt: arrivedAt + shift,
      endedAt: endedAt && endedAt + shift,
    };
    tell({type: 'run', id, path, run: {...run, ...times}});
  },
  flag: (rule, id, detail) => tell({type: 'flag', rule, id, detail}),
};

async function follow(order: UpstreamOrder): Promise<string | undefined> {
  switch (order.type) {
    case 'listen': {
      const upstream = new SoakUpstream(order.name, host);
      upstreams.set(order.name, upstream);
      return upstream.listen();
    }
    case 'pause':
      await upstreams.get(order.name)?.pauseReading(order.ms);
      return undefined;
    case 'close':
      upstreams.get(order.name)?.close();
      return undefined;
    case 'fail_from':
      failsFrom = order.at;
      return undefined;
  }
}

// The first use of the bodies' bytes would hold the thread up.
filler(1);
let last = performance.now();
setInterval(() => {
  const now = performance.now();
  if (now - last > STALL_MS)
    tell({type: 'stall', from: last + shift, to: now + shift});
  last = now;
}, WATCH_INTERVAL_MS);

port.on('message', (order: UpstreamOrder) => {
  const {number} = order;
  void follow(order).then(address => tell({type: 'done', number, address}));
});
