import {readFile} from 'node:fs/promises';

import {parseConfiguration} from '../../configuration/index.js';
import {describeError} from '../../errors/index.js';
import {EXIT, printError, defineCommand, print} from '../shared/command.js';
import {SHARED_FLAGS} from '../shared/flags.js';

/** `baobabspan check` */
export const checkCommand = defineCommand({
  usage: 'check <file>',
  summary: 'Check a configuration text and print every finding',
  flags: {json: SHARED_FLAGS.json},
  example: 'check examples/kivuli.yaml',
  run: async ({json}, [file = '']) => {
    let text: string;
    try {
      text = await readFile(file, 'utf8');
    } catch (thrown) {
      printError(`${file}: ${describeError(thrown)}`);
      return EXIT.usage;
    }
    const findings = parseConfiguration(text).match(
      () => [],
      found => found,
    );
    if (json) print(JSON.stringify({file, findings}, undefined, 2));
    else {
      for (const {line, column, message, rule} of findings) {
        print(`${file}:${line}:${column}: ${message} (${rule})`);
      }
    }
    return findings.length === 0 ? EXIT.success : EXIT.failure;
  },
});
