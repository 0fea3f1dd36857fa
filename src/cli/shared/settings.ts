import {distance} from 'fastest-levenshtein';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';

import type {Flag, Flags, SettingsOf} from './flags.js';

const ENV_PREFIX = 'BAOBABSPAN_';
/** Options of the command line itself. */
const BUILT_IN = ['help', 'h', 'version', 'v', '--'];

/**
 * The environment variable of a flag.
 * @param flag - the flag
 */
export function envName({name}: Flag<unknown>): string {
  return ENV_PREFIX + name.toUpperCase().replaceAll('-', '_');
}

const camel = (name: string) =>
  name.replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());

/**
 * Reads the settings of a command: the flag first, then the environment, then
 * the fallback.
 * @param flags - the flags of the command
 * @param options - the options as parsed from the command line
 * @param env - the environment
 * @returns the settings, or one line for each thing that is wrong
 */
export function readSettings<F extends Flags>(
  flags: F,
  options: Readonly<Record<string, unknown>>,
  env: Readonly<Record<string, string | undefined>>,
): Result<SettingsOf<F>, readonly string[]> {
  const findings = unknownOptions(flags, options);
  const settings: Record<string, unknown> = {};
  for (const [key, flag] of Object.entries(flags)) {
    const given = options[camel(flag.name)];
    const text = given ?? env[envName(flag)] ?? flag.fallback;
    if (text === undefined) {
      findings.push(`--${flag.name}: needed (or set ${envName(flag)})`);
      continue;
    }
    const parsed = flag.schema.safeParse(String(text));
    if (parsed.success) settings[key] = parsed.data;
    else findings.push(`--${flag.name}: ${parsed.error.issues[0]?.message}`);
  }
  return findings.length > 0 ? err(findings) : ok(settings as SettingsOf<F>);
}

function unknownOptions(
  flags: Flags,
  options: Readonly<Record<string, unknown>>,
): string[] {
  const names = Object.values(flags).map(({name}) => name);
  const known = new Set([...names.map(camel), ...BUILT_IN]);
  return Object.keys(options)
    .filter(option => !known.has(option))
    .map(option => `--${option}: unknown flag${nearest(option, names)}`);
}

function nearest(option: string, names: readonly string[]): string {
  const close = names
    .map(name => ({name, away: distance(name, option)}))
    .filter(({away}) => away <= 3)
    .sort((a, b) => a.away - b.away)[0];
  return close === undefined ? '' : `; did you mean --${close.name}?`;
}
