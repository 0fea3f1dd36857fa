import {readFile} from 'node:fs/promises';

import type {Result} from 'neverthrow';
import {z} from 'zod';

import {HttpLogClient} from '../../clients/index.js';
import {
  CONFIGURATION_STREAM,
  parseConfiguration,
} from '../../configuration/index.js';
import {describeError} from '../../errors/index.js';
import type {Fault} from '../../errors/index.js';
import {lineDiff} from '../publish/line_diff.js';
import {Publisher} from '../publish/publisher.js';
import {EXIT, printError, defineCommand, print} from '../shared/command.js';
import {SHARED_FLAGS} from '../shared/flags.js';
import type {Flag} from '../shared/flags.js';
import {reportFault} from '../shared/report_fault.js';

const logUrl: Flag<string> = {
  ...SHARED_FLAGS.logUrl,
  description: "Platform's log, to show what differs from the version in force",
  schema: z.union([z.literal(''), SHARED_FLAGS.logUrl.schema]),
  fallback: '',
};

/** What differs from the version in force. */
interface Comparison {
  /** The version in force; 0 before the first. */
  readonly version: number;
  readonly changes: readonly string[];
}

/** Compares a text with the version in force. */
async function compareWithLog(
  text: string,
  url: string,
): Promise<Result<Comparison, Fault>> {
  const log = new HttpLogClient(url, CONFIGURATION_STREAM);
  const inForce = await new Publisher(log).catchUp();
  return inForce.map(({version, text: before}) => ({
    version,
    changes: lineDiff(before, text),
  }));
}

/** `baobabspan check` */
export const checkCommand = defineCommand({
  usage: 'check <file>',
  summary: 'Check a configuration text and print every finding',
  flags: {json: SHARED_FLAGS.json, logUrl},
  example: 'check examples/kivuli.yaml',
  run: async ({json, logUrl: url}, [file = '']) => {
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
    const compared = url === '' ? undefined : await compareWithLog(text, url);
    const inForce = compared?.unwrapOr(undefined);
    if (json) print(JSON.stringify({file, findings, inForce}, undefined, 2));
    else {
      for (const {line, column, message, rule} of findings) {
        print(`${file}:${line}:${column}: ${message} (${rule})`);
      }
      if (inForce !== undefined) {
        print(`changes to version ${inForce.version}:`);
        inForce.changes.forEach(print);
      }
    }
    if (compared?.isErr()) return reportFault(compared.error);
    return findings.length === 0 ? EXIT.success : EXIT.failure;
  },
});
