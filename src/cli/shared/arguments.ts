import {parseArgs} from 'node:util';

import type {Flag, Flags} from './flags.js';
import {nearest} from './nearest.js';

/** Options that every command has. */
const BUILT_IN = ['help', 'version'];

/** The words of a command line, all of them text as it was typed. */
export interface Arguments {
  /** What was given for each flag, by its name. */
  readonly given: ReadonlyMap<string, string>;
  readonly positionals: readonly string[];
  /** One line for each thing that is wrong. */
  readonly findings: readonly string[];
}

type Token = NonNullable<ReturnType<typeof parseArgs>['tokens']>[number];
type OptionToken = Extract<Token, {kind: 'option'}>;

/** Collects what is given and what is wrong with it. */
class Reader implements Arguments {
  readonly given = new Map<string, string>();
  readonly positionals: string[] = [];
  readonly findings: string[] = [];
  private readonly known: ReadonlyMap<string, Flag<unknown>>;
  private afterUnknown = false;

  constructor(flags: Flags) {
    const all = Object.values(flags);
    this.known = new Map(all.map(flag => [flag.name, flag]));
  }

  take(token: Token): void {
    // The word after an unknown flag is most likely its value.
    const {afterUnknown} = this;
    this.afterUnknown = false;
    if (token.kind === 'option') this.option(token);
    if (token.kind !== 'positional' || afterUnknown) return;
    this.positionals.push(token.value);
  }

  private option({name, rawName, value, inlineValue}: OptionToken): void {
    const flag = this.known.get(name);
    if (flag === undefined) return this.unknown(name, rawName);
    if (this.given.has(name)) {
      this.findings.push(`${rawName}: given more than once`);
      return;
    }
    const isSwitch = flag.value === undefined;
    const isNext = value?.startsWith('--') === true && inlineValue === false;
    if (!isSwitch && (value === undefined || isNext)) {
      this.findings.push(`${rawName}: needs a value: ${rawName}=${flag.value}`);
    }
    this.given.set(name, value ?? 'true');
  }

  private unknown(name: string, rawName: string): void {
    if (BUILT_IN.includes(name)) return;
    this.afterUnknown = true;
    const near = nearest(name, [...this.known.keys()]);
    const hint = near === undefined ? '' : `; did you mean --${near}?`;
    this.findings.push(`${rawName}: unknown flag${hint}`);
  }
}

/**
 * Reads a command line without judging the values.
 * @param flags - the flags of the command
 * @param argv - the words after the program's name
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
  const reader = new Reader(flags);
  for (const token of parsed.tokens) reader.take(token);
  return reader;
}
