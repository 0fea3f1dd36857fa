import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {format} from 'prettier';
import {describe, expect, it} from 'vitest';

import {COMMANDS} from '../src/cli/commands.js';
import {envName} from '../src/cli/shared/settings.js';
import {CONFIGURATION_STREAM} from '../src/configuration/index.js';
import {PROGRAM_VERSION} from '../src/version.js';
import {PlatformServer} from '../standins/platform_server.js';

const ROOT = fileURLToPath(new URL('../', import.meta.url));
const MAIN = 'dist/src/cli/main.js';
const DAEMON_FLAGS = [
  ...['--vm', 'a', '--availability-zone', 'z', '--link-key', 'k'.repeat(16)],
  ...['--log-url', 'http://127.0.0.1:1', '--vm-list-url', 'http://127.0.0.1:1'],
];

interface RunResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const run = (...args: string[]) =>
  new Promise<RunResult>(resolve => {
    const child = execFile(
      process.execPath,
      [MAIN, ...args],
      {cwd: ROOT, env: {PATH: process.env['PATH']}},
      (_err, stdout, stderr) =>
        resolve({code: child.exitCode ?? -1, stdout, stderr}),
    );
  });

describe('the command line', () => {
  it.concurrent.each<[string, string[], number, RegExp]>([
    ['no command', [], 2, /Commands:/],
    ['help', ['--help'], 0, /Commands:/],
    ['an unknown command', ['pubish'], 2, /did you mean publish\?/],
    ['an unknown command like a number', ['7'], 2, /7: unknown command/],
    ['a missing argument', ['check'], 2, /<file>: needed/],
    ['an unknown flag', ['check', 'x', '--jsn'], 2, /did you mean --json\?/],
    ['a missing file', ['check', 'none.yaml'], 2, /ENOENT/],
    ['a valid configuration', ['check', 'examples/kivuli.yaml'], 0, /^$/],
    ['a daemon without settings', ['entry'], 2, /--link-key: needed/],
    [
      'findings with their positions',
      ['check', 'src/configuration/__golden__/many_faults.yaml'],
      1,
      /^src\/configuration\/__golden__\/many_faults\.yaml:2:47: .+ \(duplicate-name\)$/m,
    ],
    [
      'findings as JSON',
      ['check', '--json', 'src/configuration/__golden__/many_faults.yaml'],
      1,
      /"line": 2,\n\s+"column": 47,/,
    ],
  ])('answers %s', async (_, args, code, pattern) => {
    const result = await run(...args);
    expect(result.stdout + result.stderr).toMatch(pattern);
    expect(result.code).toBe(code);
  });

  it('shows the version of package.json', async () => {
    const text = readFileSync(`${ROOT}package.json`, 'utf8');
    const {version} = JSON.parse(text) as {version: string};
    expect(PROGRAM_VERSION).toBe(version);
    expect((await run('--version')).stdout).toContain(`/${version} `);
  });

  it.concurrent.each(COMMANDS.map(({usage, example}) => [usage, example]))(
    'helps with an example for %s',
    async (usage, example) => {
      const {code, stdout} = await run(usage.split(' ')[0]!, '--help');
      expect(stdout).toContain(`baobabspan ${example}`);
      expect(code).toBe(0);
    },
  );

  it('shows what differs from the version in force before it is published', async () => {
    const platform = new PlatformServer();
    const url = await platform.listen();
    const text = readFileSync(`${ROOT}examples/kivuli.yaml`, 'utf8');
    const publication = {
      ...{kind: 'publication', id: 'first', base: 0, author: 'operator'},
      text: text.replace('deadline: 5 s', 'deadline: 4 s'),
    };
    platform.append(CONFIGURATION_STREAM, publication);
    const args = ['check', 'examples/kivuli.yaml', '--log-url', url];
    const changes = ['-     deadline: 4 s', '+     deadline: 5 s'];
    const {code, stdout} = await run(...args);
    expect([code, stdout.trimEnd().split('\n')]).toEqual([
      0,
      ['changes to version 1:', ...changes],
    ]);
    const asJson = await run(...args, '--json');
    expect(JSON.parse(asJson.stdout)).toMatchObject({
      ...{findings: [], inForce: {version: 1, changes}},
    });
    platform.faults.down = true;
    const unread = await run(...args);
    expect([unread.code, unread.stdout]).toEqual([1, '']);
    expect(unread.stderr).toMatch(/^log_unavailable: /);
    await platform.close();
  });

  it('exits when a listener cannot be opened although others are open', async () => {
    const taken = createServer().listen(0, '127.0.0.1');
    await once(taken, 'listening');
    const {port} = taken.address() as AddressInfo;
    const result = await run('entry', ...DAEMON_FLAGS, '--port', String(port));
    taken.close();
    expect(result.stderr).toContain('EADDRINUSE');
    expect(result.code).toBe(2);
  });

  // `vitest run test/command_line -u` regenerates the page.
  it('documents its flags in docs/FLAGS.md', async () => {
    const page = await format(flagsPage(), {parser: 'markdown'});
    await expect(page).toMatchFileSnapshot('../docs/FLAGS.md');
  });
});

function flagsPage(): string {
  const sections = COMMANDS.map(({usage, summary, flags, example}) => {
    const rows = Object.values(flags).map(
      ({name, value, fallback, description, ...flag}) => {
        const shown = value === undefined ? '' : ` ${value}`;
        const usual = fallback === undefined ? 'needed' : `\`${fallback}\``;
        const variable = envName({name, ...flag});
        return `| \`--${name}${shown}\` | \`${variable}\` | ${usual} | ${description} |`;
      },
    );
    return [
      `## \`baobabspan ${usage}\``,
      `${summary}.`,
      `    baobabspan ${example}`,
      `| Flag | Environment | By default | Meaning |\n| --- | --- | --- | --- |\n${rows.join('\n')}`,
    ].join('\n\n');
  });
  const intro =
    'A flag goes before the environment, and that before the default. ' +
    'Exit codes: 0 good, 1 findings or refused, 2 wrong usage or settings.';
  return ['# Flags and environment', intro, ...sections].join('\n\n');
}
