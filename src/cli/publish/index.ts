import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';

import {z} from 'zod';

import {
  CONFIGURATION_STREAM,
  CurrentTextParser,
} from '../../configuration/index.js';
import type {Publication, Verdict} from '../../configuration/index.js';
import {SECOND, recordId, version} from '../../core/index.js';
import {Fault, describeError} from '../../errors/index.js';
import {HttpLogClient} from '../../clients/index.js';
import {EXIT, printError, defineCommand, print} from '../shared/command.js';
import {COMMAND_FLAGS, SHARED_FLAGS} from '../shared/flags.js';
import type {Flag} from '../shared/flags.js';
import {reportFault} from '../shared/report_fault.js';
import {EstateCrawler} from '../status/estate_crawler.js';
import {lineDiff} from './line_diff.js';
import {Publisher} from './publisher.js';
import {waitInForce} from './wait_in_force.js';

const wait: Flag<boolean> = {
  name: 'wait',
  description: 'Wait until the version is in force at all known processes',
  schema: z.enum(['true', 'false']).transform(text => text === 'true'),
  fallback: 'false',
};
const waitTimeout: Flag<number> = {
  name: 'wait-timeout',
  value: 'SECONDS',
  description: 'How long --wait waits',
  schema: z.coerce
    .number()
    .positive()
    .transform(s => s * SECOND),
  fallback: '60',
};
const recover: Flag<boolean> = {
  name: 'recover',
  description: 'Put the text in force although the log lost what came before',
  schema: z.enum(['true', 'false']).transform(text => text === 'true'),
  fallback: 'false',
};
const operatorUrl: Flag<string> = {
  ...COMMAND_FLAGS.operatorUrl,
  description: 'Operator listener of any daemon, for --wait and --recover',
  schema: z.union([z.literal(''), COMMAND_FLAGS.operatorUrl.schema]),
  fallback: '',
};

/**
 * Creates a publication. Its id is a digest of its content, so that a retry is
 * a duplicate of the first attempt.
 */
function createPublication(
  base: number,
  author: string,
  text: string,
): Publication {
  const digest = createHash('sha256')
    .update(`${base}\n${author}\n${text}`)
    .digest('hex');
  const id = recordId(digest);
  return {kind: 'publication', id, base: version(base), author, text};
}

/**
 * Prints the changes to the configuration in force.
 * @returns whether the publication is based on the version in force
 */
function printChanges(
  publisher: Publisher,
  {base, text}: Publication,
): boolean {
  const inForce = publisher.folded;
  const diff = lineDiff(inForce.text, text);
  if (inForce.version === base) {
    print(`changes to version ${base}:`);
    diff.forEach(print);
    return true;
  }
  const {version: current, author} = inForce;
  printError(`refused: stale_base: based on ${base}, not sent`);
  printError(`in force: version ${current} by ${author || 'nobody'}`);
  printError('this text differs from it by:');
  diff.forEach(printError);
  return false;
}

function reportVerdict(verdict: Verdict): number {
  if (verdict.accepted) {
    print(`version ${verdict.version} accepted`);
    return EXIT.success;
  }
  const author = verdict.author || 'nobody';
  printError(`refused: ${verdict.reason}: ${verdict.detail}`);
  printError(`in force: version ${verdict.version} by ${author}`);
  return EXIT.failure;
}

/**
 * Publishes over a log gap, unless a process still has the configuration of
 * the expired records.
 */
async function recoverConfiguration(
  publisher: Publisher,
  publication: Publication,
  operatorAddress: string,
): Promise<number> {
  const parsed = new CurrentTextParser().parse(publication.text);
  if (parsed.isErr()) return reportFault(new Fault('invalid_configuration'));
  const rows = await EstateCrawler.crawl(operatorAddress);
  const rowWithoutGap = rows.find(row => row.version !== undefined && !row.gap);
  if (rows.length === 0 || rowWithoutGap !== undefined) {
    printError(
      `${rowWithoutGap?.vm ?? operatorAddress}: may have the expired records; not sent`,
    );
    return EXIT.failure;
  }
  const newest = Math.max(...rows.map(({version}) => version ?? 0));
  if (publication.base < newest) {
    printError(`version ${newest} is in force somewhere; use --base ${newest}`);
    return EXIT.failure;
  }
  const verdict = await publisher.recover(publication);
  return verdict.isErr()
    ? reportFault(verdict.error)
    : reportVerdict(verdict.value);
}

/** `baobabspan publish` */
export const publishCommand = defineCommand({
  usage: 'publish <file>',
  summary: 'Publish a configuration text',
  flags: {
    base: COMMAND_FLAGS.base,
    author: COMMAND_FLAGS.author,
    logUrl: SHARED_FLAGS.logUrl,
    wait,
    waitTimeout,
    operatorUrl,
    recover,
  },
  example:
    'publish examples/kivuli.yaml --base 0 --log-url http://127.0.0.1:7000',
  run: async (settings, [file = '']) => {
    const {operatorUrl: operators} = settings;
    if ((settings.wait || settings.recover) && operators === '') {
      printError('--wait and --recover: need --operator-url');
      return EXIT.usage;
    }
    let text: string;
    try {
      text = await readFile(file, 'utf8');
    } catch (thrown) {
      printError(`${file}: ${describeError(thrown)}`);
      return EXIT.usage;
    }
    const publication = createPublication(settings.base, settings.author, text);
    const log = new HttpLogClient(settings.logUrl, CONFIGURATION_STREAM);
    const publisher = new Publisher(log);
    const caughtUp = await publisher.catchUp();
    if (caughtUp.isErr()) {
      const isLogGap = caughtUp.error.reason === 'log_gap';
      if (!isLogGap || !settings.recover) return reportFault(caughtUp.error);
      return recoverConfiguration(
        publisher,
        publication,
        new URL(operators).host,
      );
    }
    let verdict = publisher.verdictOf(publication.id);
    if (verdict?.accepted !== true) {
      if (!printChanges(publisher, publication)) return EXIT.failure;
      const published = await publisher.publish(publication);
      if (published.isErr()) return reportFault(published.error);
      verdict = published.value;
    }
    const code = reportVerdict(verdict);
    if (!verdict.accepted || !settings.wait) return code;
    const host = new URL(operators).host;
    return waitInForce(host, verdict.version, settings.waitTimeout);
  },
});
