import {cac} from 'cac';
import type {CAC} from 'cac';

import {describeError} from '../errors/index.js';
import {PROGRAM_VERSION} from '../version.js';
import {COMMANDS} from './commands.js';
import {EXIT, exitCodeOf, printError} from './shared/command.js';
import type {Command} from './shared/command.js';
import {nearestName} from './shared/nearest_name.js';
import {envName, readInvocation, unknownVariables} from './shared/settings.js';
import type {Environment} from './shared/settings.js';

const commandName = ({usage}: Command) => usage.split(' ', 1)[0] ?? '';

function addCommand(cli: CAC, command: Command): void {
  const defined = cli
    .command(command.usage, command.summary)
    .allowUnknownOptions()
    .example(bin => `  ${bin} ${command.example}`);
  for (const flag of Object.values(command.flags)) {
    const value = flag.value === undefined ? '' : ` <${flag.value}>`;
    const fallback = flag.value && flag.fallback;
    const defaultText = fallback ? `, ${fallback} by default` : '';
    const text = `${flag.description} (${envName(flag)}${defaultText})`;
    defined.option(`--${flag.name}${value}`, text);
  }
}

function reportFindings(findings: readonly string[]): number {
  findings.forEach(printError);
  printError('See --help.');
  return EXIT.usage;
}

function reportUnknownCommand(name: string): number {
  const suggestion = nearestName(name, COMMANDS.map(commandName));
  const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`;
  return reportFindings([`${name}: unknown command${hint}`]);
}

/**
 * Runs one command line.
 * @param argv - arguments after the program's name
 * @param env - environment variables
 * @returns the exit code
 */
export async function runCli(
  argv: readonly string[],
  env: Environment,
): Promise<number> {
  const cli = cac('baobabspan');
  for (const command of COMMANDS) addCommand(cli, command);
  cli.help();
  cli.version(PROGRAM_VERSION);
  cli.parse(['node', 'baobabspan', ...argv], {run: false});
  const {help, version} = cli.options as {help?: boolean; version?: boolean};
  const command = COMMANDS.find(c => commandName(c) === cli.matchedCommandName);
  if (command === undefined) {
    if (help === true || version === true) return EXIT.success;
    const [word] = cli.args;
    if (word !== undefined) return reportUnknownCommand(String(word));
    cli.outputHelp();
    return EXIT.usage;
  }
  const invocation = readInvocation(command, argv, env);
  const variables = unknownVariables(COMMANDS, env);
  if (invocation.isErr() || variables.length > 0) {
    const findings = invocation.isErr() ? invocation.error : [];
    return reportFindings([...findings, ...variables]);
  }
  const {settings, args} = invocation.value;
  try {
    return await command.run(settings, args);
  } catch (thrown) {
    printError(describeError(thrown));
    return exitCodeOf(thrown);
  }
}
