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
import {EXIT, complain, defineCommand, print} from '../shared/command.js';
import {OWN, SHARED} from '../shared/flags.js';
import type {Flag} from '../shared/flags.js';
import {EstateView} from '../status/estate_view.js';
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
  ...OWN.operatorUrl,
  description: 'Operator listener of any daemon, for --wait and --recover',
  schema: z.union([z.literal(''), OWN.operatorUrl.schema]),
  fallback: '',
};

function fail({reason, message, hint}: Fault): number {
  complain(`${reason}: ${message}`);
  complain(hint);
  return EXIT.refused;
}

/** The same text on the same base is the same publication when repeated. */
function publicationOf(
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

/** Shows what would change, unless the base is not the version in force. */
function preview(publisher: Publisher, {base, text}: Publication): boolean {
  const inForce = publisher.folded;
  const diff = lineDiff(inForce.text, text);
  if (inForce.version === base) {
    print(`changes to version ${base}:`);
    diff.forEach(print);
    return true;
  }
  const {version: current, author} = inForce;
  complain(`refused: stale_base: based on ${base}, not sent`);
  complain(`in force: version ${current} by ${author || 'nobody'}`);
  complain('this text differs from it by:');
  diff.forEach(complain);
  return false;
}

function report(verdict: Verdict): number {
  if (verdict.accepted) {
    print(`version ${verdict.version} accepted`);
    return EXIT.good;
  }
  const winner = verdict.author || 'nobody';
  complain(`refused: ${verdict.reason}: ${verdict.detail}`);
  complain(`in force: version ${verdict.version} by ${winner}`);
  return EXIT.refused;
}

/** Puts a text in force when no process knows what expired. */
async function recoverWith(
  publisher: Publisher,
  publication: Publication,
  operators: string,
): Promise<number> {
  const parsed = new CurrentTextParser().parse(publication.text);
  if (parsed.isErr()) return fail(new Fault('invalid_configuration'));
  const rows = await EstateView.look(operators);
  const witness = rows.find(row => row.version !== undefined && !row.gap);
  if (rows.length === 0 || witness !== undefined) {
    complain(`${witness?.vm ?? operators}: may still know; not sent`);
    return EXIT.refused;
  }
  const newest = Math.max(...rows.map(({version}) => version ?? 0));
  if (publication.base < newest) {
    complain(`version ${newest} is in force somewhere; use --base ${newest}`);
    return EXIT.refused;
  }
  const verdict = await publisher.recover(publication);
  return verdict.isErr() ? fail(verdict.error) : report(verdict.value);
}

/** `baobabspan publish` */
export const publishCommand = defineCommand({
  usage: 'publish <file>',
  summary: 'Publish a configuration text',
  flags: {
    base: OWN.base,
    author: OWN.author,
    logUrl: SHARED.logUrl,
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
      complain('--wait and --recover: need --operator-url');
      return EXIT.usage;
    }
    let text: string;
    try {
      text = await readFile(file, 'utf8');
    } catch (thrown) {
      complain(`${file}: ${describeError(thrown)}`);
      return EXIT.usage;
    }
    const publication = publicationOf(settings.base, settings.author, text);
    const log = new HttpLogClient(settings.logUrl, CONFIGURATION_STREAM);
    const publisher = new Publisher(log);
    const caughtUp = await publisher.catchUp();
    if (caughtUp.isErr()) {
      const isLost = caughtUp.error.reason === 'log_gap';
      if (!isLost || !settings.recover) return fail(caughtUp.error);
      return recoverWith(publisher, publication, new URL(operators).host);
    }
    let verdict = publisher.verdictOn(publication.id);
    if (verdict?.accepted !== true) {
      if (!preview(publisher, publication)) return EXIT.refused;
      const published = await publisher.publish(publication);
      if (published.isErr()) return fail(published.error);
      verdict = published.value;
    }
    const code = report(verdict);
    if (!verdict.accepted || !settings.wait) return code;
    const host = new URL(operators).host;
    return waitInForce(host, verdict.version, settings.waitTimeout);
  },
});
