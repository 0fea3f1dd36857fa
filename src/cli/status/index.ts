import {request} from 'undici';
import {z} from 'zod';

import {describeError} from '../../errors/index.js';
import {EXIT, printError, defineCommand, print} from '../shared/command.js';
import {COMMAND_FLAGS, SHARED_FLAGS} from '../shared/flags.js';
import type {Flag} from '../shared/flags.js';
import {EstateCrawler, formatRow} from './estate_crawler.js';

const estate: Flag<boolean> = {
  name: 'estate',
  description: 'Show the version in force at every process',
  schema: z.enum(['true', 'false']).transform(text => text === 'true'),
  fallback: 'false',
};

async function showEstate(operatorUrl: string, json: boolean): Promise<number> {
  const rows = await EstateCrawler.crawl(new URL(operatorUrl).host);
  if (rows.length === 0) {
    printError(`${operatorUrl}: no answer`);
    return EXIT.failure;
  }
  const newest = Math.max(...rows.map(({version}) => version ?? 0));
  if (json) print(JSON.stringify({newest, rows}));
  else rows.forEach(row => print(formatRow(row, newest)));
  const agree = rows.every(({version}) => version === newest);
  return agree ? EXIT.success : EXIT.failure;
}

/** `baobabspan status` */
export const statusCommand = defineCommand({
  usage: 'status',
  summary: 'Show the status of a daemon, or of all',
  flags: {
    operatorUrl: COMMAND_FLAGS.operatorUrl,
    estate,
    json: SHARED_FLAGS.json,
  },
  example: 'status --operator-url http://127.0.0.1:9100 --estate',
  run: async ({operatorUrl, estate, json}) => {
    if (estate) return showEstate(operatorUrl, json);
    try {
      const res = await request(`${operatorUrl}/status`);
      print((await res.body.text()).trimEnd());
      return EXIT.success;
    } catch (thrown) {
      printError(`${operatorUrl}: ${describeError(thrown)}`);
      return EXIT.failure;
    }
  },
});
