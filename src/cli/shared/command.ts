import type {Flags, SettingsOf} from './flags.js';

/** Exit codes of the command line. */
export const EXIT = {success: 0, failure: 1, usage: 2} as const;

/** Error codes of a listener whose address is not usable on this machine. */
const ADDRESS_ERRORS = new Set([
  'EACCES',
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EINVAL',
]);

/**
 * Returns the exit code of a command that an exception ends.
 * @param thrown - the exception
 */
export function exitCodeOf(thrown: unknown): number {
  const {code = ''} = thrown as {code?: string};
  return ADDRESS_ERRORS.has(code) ? EXIT.usage : EXIT.failure;
}

/** Command of the command line. */
export interface Command<F extends Flags = Flags> {
  /** Name and positional arguments, such as `check <file>`. */
  readonly usage: string;
  readonly summary: string;
  readonly flags: F;
  /** Complete command line, without the program's name. */
  readonly example: string;
  /**
   * Runs the command.
   * @param settings - validated settings
   * @param args - positional arguments
   * @returns the exit code
   */
  run(settings: SettingsOf<F>, args: readonly string[]): Promise<number>;
}

/**
 * Defines a command whose settings are typed by its flags.
 * @param command - command with its own flag types
 */
export function defineCommand<F extends Flags>(command: Command<F>): Command {
  return command as unknown as Command;
}

/**
 * Prints a line to standard output.
 * @param line - line without its newline
 */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Prints a line to standard error.
 * @param line - line without its newline
 */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}
