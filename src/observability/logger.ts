import {createConsola} from 'consola';
import type {ConsolaInstance, ConsolaReporter, LogObject} from 'consola';

/** Values of one log line. Undefined ones are left out. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** One event, one line. */
export interface Logger {
  /** Ordinary events. */
  info(event: string, fields?: Fields): void;
  /** Events that an operator should look at. */
  warn(event: string, fields?: Fields): void;
  /** Faults of this process. */
  error(event: string, fields?: Fields): void;
  /** Detail, off by default. */
  debug(event: string, fields?: Fields): void;
  /** A logger that adds a label to each line. */
  withLabel(label: string): Logger;
}

const NEEDS_QUOTES = /[\s="\\]|^$/;

function quoteIfNeeded(value: string | number | boolean): string {
  const text = String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/**
 * Writes pairs as `key=value`, quoted where needed.
 * @param fields - the pairs
 * @returns one line without its end
 */
export function logfmt(fields: Fields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quoteIfNeeded(value as string)}`)
    .join(' ');
}

class LogfmtReporter implements ConsolaReporter {
  constructor(private readonly write: (line: string) => void) {}

  log(entry: LogObject): void {
    const fields = entry.args[0] as Fields;
    const time = entry.date.toISOString();
    this.write(logfmt({time, level: entry.type, ...fields}));
  }
}

class ConsolaLogger implements Logger {
  constructor(
    private readonly consola: ConsolaInstance,
    private readonly label: string,
  ) {}

  info(event: string, fields: Fields = {}): void {
    this.consola.info(this.line(event, fields));
  }

  warn(event: string, fields: Fields = {}): void {
    this.consola.warn(this.line(event, fields));
  }

  error(event: string, fields: Fields = {}): void {
    this.consola.error(this.line(event, fields));
  }

  debug(event: string, fields: Fields = {}): void {
    this.consola.debug(this.line(event, fields));
  }

  withLabel(label: string): Logger {
    const path = this.label === '' ? label : `${this.label}.${label}`;
    return new ConsolaLogger(this.consola, path);
  }

  private line(event: string, fields: Fields): Fields {
    return {event, label: this.label || undefined, ...fields};
  }
}

/** Names of the levels that `--log-level` takes. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVEL: Record<LogLevel, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/**
 * Makes the logger of a process.
 * @param level - the least level that is written
 * @param write - where a line goes; stderr by default
 */
export function createLogger(
  level: LogLevel = 'info',
  write: (line: string) => void = line =>
    void process.stderr.write(`${line}\n`),
): Logger {
  const consola = createConsola({
    level: CONSOLA_LEVEL[level],
    reporters: [new LogfmtReporter(write)],
    throttle: 0,
  });
  return new ConsolaLogger(consola, '');
}

/** A logger that writes nothing. */
export const SILENT_LOGGER: Logger = createLogger('error', () => {});
