import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const ROOT = new URL('../../', import.meta.url);
const CLI = fileURLToPath(new URL('dist/src/cli/main.js', ROOT));
const STANDIN = fileURLToPath(new URL('dist/standins/main.js', ROOT));

/** Key-value pairs of one log line. */
export type LogLine = Readonly<Record<string, string>>;

const PAIR = /([^\s=]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

export function parseLogLine(line: string): LogLine {
  const pairs: Record<string, string> = {};
  for (const [, key = '', value = ''] of line.matchAll(PAIR)) {
    pairs[key] = value.startsWith('"') ? (JSON.parse(value) as string) : value;
  }
  return pairs;
}

/** Child process with its parsed log lines. */
export class TestProcess {
  readonly lines: LogLine[] = [];
  private readonly waiters: (() => void)[] = [];

  constructor(readonly child: ChildProcess) {
    createInterface({input: child.stderr!}).on('line', line => {
      this.lines.push(parseLogLine(line));
      this.waiters.splice(0).forEach(wake => wake());
    });
  }

  /** Waits for the first log line of an event and returns it. */
  async waitForEvent(name: string): Promise<LogLine> {
    for (;;) {
      const found = this.lines.find(line => line['event'] === name);
      if (found) return found;
      if (this.child.exitCode !== null) {
        throw new Error(
          `process exited before ${name}: ${JSON.stringify(this.lines)}`,
        );
      }
      await Promise.race([
        new Promise<void>(wake => this.waiters.push(wake)),
        once(this.child, 'exit'),
      ]);
    }
  }

  async kill(signal: NodeJS.Signals): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    const exit = once(this.child, 'exit');
    this.child.kill(signal);
    await exit;
  }
}

/** Child processes of one test; `close` kills them all. */
export class Processes {
  private readonly all: TestProcess[] = [];

  cli(...args: string[]): TestProcess {
    return this.start(CLI, args);
  }

  standin(...args: string[]): TestProcess {
    return this.start(STANDIN, args);
  }

  async close(): Promise<void> {
    await Promise.all(this.all.map(one => one.kill('SIGKILL')));
  }

  private start(script: string, args: string[]): TestProcess {
    const child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = new TestProcess(child);
    this.all.push(started);
    return started;
  }
}

/** Polls until a condition holds, limited only by the timeout of the test. */
export async function until(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  while (!(await condition())) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}
