import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';

import {recordId, version} from '../../core/index.js';
import {describe} from '../../errors/index.js';
import {EXIT, complain, defineCommand, print} from '../shared/command.js';
import {OWN, SHARED} from '../shared/flags.js';
import {publish} from './publisher.js';

/** `baobabspan publish` */
export const publishCommand = defineCommand({
  usage: 'publish <file>',
  summary: 'Publish a configuration text',
  flags: {base: OWN.base, author: OWN.author, logUrl: SHARED.logUrl},
  example:
    'publish examples/kivuli.yaml --base 0 --log-url http://127.0.0.1:7000',
  run: async ({base, author, logUrl}, [file = '']) => {
    let text: string;
    try {
      text = await readFile(file, 'utf8');
    } catch (thrown) {
      complain(`${file}: ${describe(thrown)}`);
      return EXIT.usage;
    }
    // The same text on the same base is the same publication when repeated.
    const digest = createHash('sha256')
      .update(`${base}\n${author}\n${text}`)
      .digest('hex');
    const outcome = await publish(logUrl, {
      kind: 'publication',
      id: recordId(digest),
      base: version(base),
      author,
      text,
    });
    if (outcome.isErr()) {
      complain(`${outcome.error.reason}: ${outcome.error.message}`);
      complain(outcome.error.hint);
      return EXIT.refused;
    }
    const verdict = outcome.value;
    if (verdict.accepted) {
      print(`version ${verdict.version} accepted`);
      return EXIT.good;
    }
    const winner = verdict.author || 'nobody';
    complain(`refused: ${verdict.reason}: ${verdict.detail}`);
    complain(`in force: version ${verdict.version} by ${winner}`);
    return EXIT.refused;
  },
});
