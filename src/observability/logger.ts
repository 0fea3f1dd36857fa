import {createConsola} from 'consola';
import type {ConsolaInstance, ConsolaReporter, LogObject} from 'consola';

/** Fields of a log line. Undefined values are omitted. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Structured logger that writes one line for each event. */
export interface Logger {
  /** Logs a regular event. */
  info(event: string, fields?: Fields): void;
  /** Logs an event that needs an operator's attention. */
  warn(event: string, fields?: Fields): void;
  /** Logs an error of this process. */
  error(event: string, fields?: Fields): void;
  /** Logs details; disabled by default. */
  debug(event: string, fields?: Fields): void;
  /** Returns a logger that adds a label to each line. */
  withLabel(label: string): Logger;
}

const NEEDS_QUOTES = /[\s="\\]|^$/;

function quoteIfNeeded(value: string | number | boolean): string {
  const text = String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/**
 * Formats fields as `key=value` pairs, quoted where necessary.
 * @param fields - the fields
 * @returns one line without a line break
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

/** Log levels that `--log-level` accepts. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

const CONSOLA_LEVEL: Record<LogLevel, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/**
 * Creates the logger of a process.
 * @param level - least severe level that is written
 * @param write - writes a line; to stderr by default
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

/** Logger that writes nothing. */
export const SILENT_LOGGER: Logger = createLogger('error', () => {});
