import {cac} from 'cac';
import type {CAC} from 'cac';

import {describeError} from '../errors/index.js';
import {PROGRAM_VERSION} from '../version.js';
import {COMMANDS} from './commands.js';
import {EXIT, complain} from './shared/command.js';
import type {Command} from './shared/command.js';
import {nearest} from './shared/nearest.js';
import {envName, readInvocation, unknownVariables} from './shared/settings.js';
import type {Environment} from './shared/settings.js';

/** Errors of a listener whose settings cannot be had on this machine. */
const WRONG_ADDRESS = new Set([
  'EACCES',
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EINVAL',
]);

const nameOf = ({usage}: Command) => usage.split(' ', 1)[0] ?? '';

function addCommand(cli: CAC, command: Command): void {
  const defined = cli
    .command(command.usage, command.summary)
    .allowUnknownOptions()
    .example(bin => `  ${bin} ${command.example}`);
  for (const flag of Object.values(command.flags)) {
    const value = flag.value === undefined ? '' : ` <${flag.value}>`;
    const fallback = flag.value && flag.fallback;
    const usual = fallback ? `, ${fallback} by default` : '';
    const text = `${flag.description} (${envName(flag)}${usual})`;
    defined.option(`--${flag.name}${value}`, text);
  }
}

function refuse(findings: readonly string[]): number {
  findings.forEach(complain);
  complain('See --help.');
  return EXIT.usage;
}

function unknownCommand(word: string): number {
  const near = nearest(word, COMMANDS.map(nameOf));
  const hint = near === undefined ? '' : `; did you mean ${near}?`;
  return refuse([`${word}: unknown command${hint}`]);
}

/**
 * Runs one command line.
 * @param words - the words after the program's name
 * @param env - the environment
 * @returns the exit code
 */
export async function runCli(
  words: readonly string[],
  env: Environment,
): Promise<number> {
  const cli = cac('baobabspan');
  for (const command of COMMANDS) addCommand(cli, command);
  cli.help();
  cli.version(PROGRAM_VERSION);
  cli.parse(['node', 'baobabspan', ...words], {run: false});
  const {help, version} = cli.options as {help?: boolean; version?: boolean};
  const command = COMMANDS.find(c => nameOf(c) === cli.matchedCommandName);
  if (command === undefined) {
    if (help === true || version === true) return EXIT.good;
    const [word] = cli.args;
    if (word !== undefined) return unknownCommand(String(word));
    cli.outputHelp();
    return EXIT.usage;
  }
  const invocation = readInvocation(command, words, env);
  const variables = unknownVariables(COMMANDS, env);
  if (invocation.isErr() || variables.length > 0) {
    const findings = invocation.isErr() ? invocation.error : [];
    return refuse([...findings, ...variables]);
  }
  const {settings, args} = invocation.value;
  try {
    return await command.run(settings, args);
  } catch (thrown) {
    complain(describeError(thrown));
    const {code = ''} = thrown as {code?: string};
    return WRONG_ADDRESS.has(code) ? EXIT.usage : EXIT.refused;
  }
}
