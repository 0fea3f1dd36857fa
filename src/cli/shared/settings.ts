import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {readArguments} from './arguments.js';
import type {Command} from './command.js';
import type {Flag, Flags, SettingsOf} from './flags.js';
import {nearestName} from './nearest_name.js';

const ENV_PREFIX = 'BAOBABSPAN_';
const POSITIONAL = /<([^>]+)>/g;

/** The environment of a process. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** What a command runs with. */
export interface Invocation {
  readonly settings: SettingsOf<Flags>;
  readonly args: readonly string[];
}

/**
 * The environment variable of a flag.
 * @param flag - the flag
 */
export function envName({name}: Pick<Flag<unknown>, 'name'>): string {
  return ENV_PREFIX + name.toUpperCase().replaceAll('-', '_');
}

/**
 * Variables that look like settings and are none, most likely misspelt.
 * @param commands - every command of the program
 * @param env - the environment
 * @returns one line for each
 */
export function unknownVariables(
  commands: readonly Command[],
  env: Environment,
): string[] {
  const known = commands.flatMap(({flags}) =>
    Object.values(flags).map(envName),
  );
  return Object.keys(env)
    .filter(name => name.startsWith(ENV_PREFIX) && !known.includes(name))
    .map(name => {
      const suggestion = nearestName(name, known);
      const hint =
        suggestion === undefined ? '' : `; did you mean ${suggestion}?`;
      return `${name}: unknown variable${hint}`;
    });
}

/**
 * Reads what a command is to run with: the flag first, then the environment,
 * then the fallback.
 * @param command - the command
 * @param argv - the words after the program's name, the command's among them
 * @param env - the environment
 * @returns the settings, or one line for each thing that is wrong
 */
export function readInvocation(
  {usage, flags}: Pick<Command, 'usage' | 'flags'>,
  argv: readonly string[],
  env: Environment,
): Result<Invocation, readonly string[]> {
  const {
    flagValues,
    positionals,
    findings: argumentFindings,
  } = readArguments(flags, argv);
  const args = positionals.slice(1);
  const findings = [
    ...argumentFindings,
    ...missingAndExtraArguments(usage, args),
  ];
  const settings: Record<string, unknown> = {};
  for (const [key, flag] of Object.entries(flags)) {
    const variable = envName(flag);
    const flagText = flagValues.get(flag.name);
    const text = flagText ?? env[variable] ?? flag.fallback;
    if (text === undefined) {
      findings.push(`--${flag.name}: needed (or set ${variable})`);
      continue;
    }
    const isFromFlag = flagText !== undefined || env[variable] === undefined;
    const source = isFromFlag ? `--${flag.name}` : variable;
    const parsed = flag.schema.safeParse(text);
    if (parsed.success) settings[key] = parsed.data;
    else findings.push(`${source}: ${parsed.error.issues[0]?.message}`);
  }
  if (findings.length > 0) return err(findings);
  return ok({settings: settings as SettingsOf<Flags>, args});
}

function missingAndExtraArguments(
  usage: string,
  args: readonly string[],
): string[] {
  const expected = [...usage.matchAll(POSITIONAL)].map(([, name]) => name);
  const missing = expected.slice(args.length).map(name => `<${name}>: needed`);
  const extra = args
    .slice(expected.length)
    .map(arg => `${arg}: unexpected argument`);
  return [...missing, ...extra];
}
