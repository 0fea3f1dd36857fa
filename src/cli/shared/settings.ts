import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import {readArguments} from './arguments.js';
import type {Command} from './command.js';
import type {Flag, Flags, SettingsOf} from './flags.js';
import {nearestName} from './nearest_name.js';

const ENV_PREFIX = 'BAOBABSPAN_';
const POSITIONAL = /<([^>]+)>/g;

/** Environment variables of a process. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Settings and arguments of a command. */
export interface Invocation {
  readonly settings: SettingsOf<Flags>;
  readonly args: readonly string[];
}

/**
 * Returns the environment variable of a flag.
 * @param flag - flag with its name
 */
export function envName({name}: Pick<Flag<unknown>, 'name'>): string {
  return ENV_PREFIX + name.toUpperCase().replaceAll('-', '_');
}

/**
 * Finds variables with the prefix of settings that no command reads; they are
 * most likely misspelt.
 * @param commands - all commands of the program
 * @param env - environment variables
 * @returns one message for each
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
 * Parses the settings of a command. A flag takes precedence over its
 * environment variable, and that over the fallback.
 * @param command - command to run
 * @param argv - arguments after the program's name, the command's included
 * @param env - environment variables
 * @returns the settings, or one message for each error
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
