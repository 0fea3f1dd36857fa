import {request} from 'undici';
import {z} from 'zod';

import {describeError} from '../../errors/index.js';
import {EXIT, complain, defineCommand, print} from '../shared/command.js';
import {OWN, SHARED} from '../shared/flags.js';
import type {Flag} from '../shared/flags.js';
import {EstateView, describeRow} from './estate_view.js';

const estate: Flag<boolean> = {
  name: 'estate',
  description: 'Show the version in force at every process',
  schema: z.enum(['true', 'false']).transform(text => text === 'true'),
  fallback: 'false',
};

async function showEstate(operatorUrl: string, json: boolean): Promise<number> {
  const rows = await EstateView.look(new URL(operatorUrl).host);
  if (rows.length === 0) {
    complain(`${operatorUrl}: no answer`);
    return EXIT.refused;
  }
  const newest = Math.max(...rows.map(({version}) => version ?? 0));
  if (json) print(JSON.stringify({newest, rows}));
  else rows.forEach(row => print(describeRow(row, newest)));
  const agree = rows.every(({version}) => version === newest);
  return agree ? EXIT.good : EXIT.refused;
}

/** `baobabspan status` */
export const statusCommand = defineCommand({
  usage: 'status',
  summary: 'Show the status of a daemon, or of all',
  flags: {operatorUrl: OWN.operatorUrl, estate, json: SHARED.json},
  example: 'status --operator-url http://127.0.0.1:9100 --estate',
  run: async ({operatorUrl, estate, json}) => {
    if (estate) return showEstate(operatorUrl, json);
    try {
      const res = await request(`${operatorUrl}/status`);
      print((await res.body.text()).trimEnd());
      return EXIT.good;
    } catch (thrown) {
      complain(`${operatorUrl}: ${describeError(thrown)}`);
      return EXIT.refused;
    }
  },
});
