import {request} from 'undici';

import {describe} from '../../errors/index.js';
import {EXIT, complain, defineCommand, print} from '../shared/command.js';
import {OWN} from '../shared/flags.js';

/** `baobabspan status` */
export const statusCommand = defineCommand({
  usage: 'status',
  summary: 'Show the status of a daemon',
  flags: {operatorUrl: OWN.operatorUrl},
  example: 'status --operator-url http://127.0.0.1:9100',
  run: async ({operatorUrl}) => {
    try {
      const res = await request(`${operatorUrl}/status`);
      print((await res.body.text()).trimEnd());
      return EXIT.good;
    } catch (thrown) {
      complain(`${operatorUrl}: ${describe(thrown)}`);
      return EXIT.refused;
    }
  },
});
