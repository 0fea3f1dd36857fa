import type {Fault} from '../../errors/index.js';
import {EXIT, printError} from './command.js';

/**
 * Prints a fault that ends a command, and how to resolve it.
 * @param fault - the fault
 * @returns the exit code
 */
export function reportFault({reason, message, hint}: Fault): number {
  printError(`${reason}: ${message}`);
  printError(hint);
  return EXIT.failure;
}
