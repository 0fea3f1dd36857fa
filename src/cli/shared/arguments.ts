import {parseArgs} from 'node:util';

import type {Flag, Flags} from './flags.js';
import {nearestName} from './nearest_name.js';

/** Options that all commands accept. */
const BUILT_IN = ['help', 'version'];

/** Parsed command line; all values are the text of the command line. */
export interface Arguments {
  /** Values of the flags, by flag name. */
  readonly flagValues: ReadonlyMap<string, string>;
  readonly positionals: readonly string[];
  /** Messages about errors, one for each error. */
  readonly findings: readonly string[];
}

type Token = NonNullable<ReturnType<typeof parseArgs>['tokens']>[number];
type OptionToken = Extract<Token, {kind: 'option'}>;

/** Collects flag values, positional arguments and errors from tokens. */
class ArgumentReader implements Arguments {
  readonly flagValues = new Map<string, string>();
  readonly positionals: string[] = [];
  readonly findings: string[] = [];
  private readonly knownFlags: ReadonlyMap<string, Flag<unknown>>;
  private isAfterUnknownFlag = false;

  constructor(flags: Flags) {
    const all = Object.values(flags);
    this.knownFlags = new Map(all.map(flag => [flag.name, flag]));
  }

  readToken(token: Token): void {
    // The argument after an unknown flag is most likely its value.
    const {isAfterUnknownFlag} = this;
    this.isAfterUnknownFlag = false;
    if (token.kind === 'option') this.readOption(token);
    if (token.kind !== 'positional' || isAfterUnknownFlag) return;
    this.positionals.push(token.value);
  }

  private readOption({name, rawName, value, inlineValue}: OptionToken): void {
    const flag = this.knownFlags.get(name);
    if (flag === undefined) return this.reportUnknownFlag(name, rawName);
    if (this.flagValues.has(name)) {
      this.findings.push(`${rawName}: given more than once`);
      return;
    }
    const isSwitch = flag.value === undefined;
    const isNextFlag =
      value?.startsWith('--') === true && inlineValue === false;
    if (!isSwitch && (value === undefined || isNextFlag)) {
      this.findings.push(`${rawName}: needs a value: ${rawName}=${flag.value}`);
    }
    this.flagValues.set(name, value ?? 'true');
  }

  private reportUnknownFlag(name: string, rawName: string): void {
    if (BUILT_IN.includes(name)) return;
    this.isAfterUnknownFlag = true;
    const suggestion = nearestName(name, [...this.knownFlags.keys()]);
    const hint =
      suggestion === undefined ? '' : `; did you mean --${suggestion}?`;
    this.findings.push(`${rawName}: unknown flag${hint}`);
  }
}

/**
 * Parses a command line without validating the values.
 * @param flags - flags of the command
 * @param argv - arguments after the program's name
 */
export function readArguments(
  flags: Flags,
  argv: readonly string[],
): Arguments {
  const options = Object.fromEntries(
    Object.values(flags).map(({name, value}) => {
      const type = value === undefined ? 'boolean' : 'string';
      return [name, {type} as const];
    }),
  );
  const parsed = parseArgs({
    args: [...argv],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  const reader = new ArgumentReader(flags);
  for (const token of parsed.tokens) reader.readToken(token);
  return reader;
}
