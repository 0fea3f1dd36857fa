import type {Flags, SettingsOf} from './flags.js';

/** Exit codes of the command line. */
export const EXIT = {success: 0, failure: 1, usage: 2} as const;

/** One command of the command line. */
export interface Command<F extends Flags = Flags> {
  /** Name and positional arguments, such as `check <file>`. */
  readonly usage: string;
  readonly summary: string;
  readonly flags: F;
  /** A whole command line, without the program's name. */
  readonly example: string;
  /**
   * Runs the command.
   * @param settings - its checked settings
   * @param args - its positional arguments
   * @returns the exit code
   */
  run(settings: SettingsOf<F>, args: readonly string[]): Promise<number>;
}

/**
 * Keeps the types of a command's flags and settings together.
 * @param command - the command
 */
export function defineCommand<F extends Flags>(command: Command<F>): Command {
  return command as unknown as Command;
}

/**
 * Prints a line of output.
 * @param line - the line without its end
 */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Prints a line about what went wrong.
 * @param line - the line without its end
 */
export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}
