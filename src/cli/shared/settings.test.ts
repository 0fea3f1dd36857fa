import {describe, expect, it} from 'vitest';

import {COMMANDS} from '../commands.js';
import {COMMAND_FLAGS, SHARED_FLAGS} from './flags.js';
import {readInvocation, unknownVariables} from './settings.js';
import type {Environment} from './settings.js';

const command = {
  usage: 'run <file>',
  flags: {
    vm: SHARED_FLAGS.vm,
    port: COMMAND_FLAGS.port,
    drainTimeout: SHARED_FLAGS.drainTimeout,
    logLevel: SHARED_FLAGS.logLevel,
    json: SHARED_FLAGS.json,
    logUrl: SHARED_FLAGS.logUrl,
  },
};
const GIVEN = ['--vm=a', '--log-url=http://h:1', 'file'];

const read = (words: readonly string[], env: Environment = {}) =>
  readInvocation(command, ['run', ...words], env);

describe('readInvocation', () => {
  it.each<[string, string[], Environment, object]>([
    ['fallbacks', GIVEN, {}, {port: 8080, json: false, drainTimeout: 300_000}],
    ['a flag', [...GIVEN, '--port', '0'], {}, {port: 0}],
    ['a flag with =', [...GIVEN, '--port=7'], {}, {port: 7}],
    ['a switch', [...GIVEN, '--json'], {}, {json: true}],
    ['a switch before the file', ['--json', ...GIVEN], {}, {json: true}],
    ['a switch turned off', [...GIVEN, '--json=false'], {}, {json: false}],
    ['a variable', GIVEN, {BAOBABSPAN_PORT: '9'}, {port: 9}],
    [
      'a flag over a variable',
      [...GIVEN, '--port=7'],
      {BAOBABSPAN_PORT: '9'},
      {port: 7},
    ],
    [
      'a flag over an invalid variable',
      [...GIVEN, '--port=7'],
      {BAOBABSPAN_PORT: 'x'},
      {port: 7},
    ],
    [
      'a name that looks like a number',
      [...GIVEN.slice(1), '--vm', '007'],
      {},
      {vm: '007'},
    ],
    [
      'a name in scientific notation',
      [...GIVEN.slice(1), '--vm', '1e3'],
      {},
      {vm: '1e3'},
    ],
    [
      'a name like a negative number',
      [...GIVEN.slice(1), '--vm=-5'],
      {},
      {vm: '-5'},
    ],
    [
      'a URL without its last slash',
      ['--vm=a', '--log-url=http://h:1/', 'f'],
      {},
      {logUrl: 'http://h:1'},
    ],
    [
      'a fraction of a second',
      [...GIVEN, '--drain-timeout=0.5'],
      {},
      {drainTimeout: 500},
    ],
  ])('accepts %s', (_, words, env, settings) => {
    expect(read(words, env)._unsafeUnwrap().settings).toMatchObject(settings);
  });

  it('keeps a file name that looks like a number', () => {
    const words = ['--vm=a', '--log-url=http://h:1', '--json', '0012'];
    expect(read(words)._unsafeUnwrap().args).toEqual(['0012']);
  });

  it.each<[string, string[], Environment, string[]]>([
    [
      'missing arguments and flags',
      [],
      {},
      [
        '<file>: needed',
        '--vm: needed (or set BAOBABSPAN_VM)',
        '--log-url: needed (or set BAOBABSPAN_LOG_URL)',
      ],
    ],
    [
      'unknown flags, with the nearest name',
      [...GIVEN, '--prot', '3', '--colour=red', '-x'],
      {},
      [
        '--prot: unknown flag; did you mean --port?',
        '--colour: unknown flag',
        '-x: unknown flag',
      ],
    ],
    [
      'a flag in the wrong case',
      [...GIVEN, '--Port=1'],
      {},
      ['--Port: unknown flag; did you mean --port?'],
    ],
    [
      'a name of Object.prototype',
      [...GIVEN, '--constructor=1', '--__proto__=1'],
      {},
      ['--constructor: unknown flag', '--__proto__: unknown flag'],
    ],
    [
      'a flag given twice',
      [...GIVEN, '--vm=b'],
      {},
      ['--vm: given more than once'],
    ],
    [
      'a flag without its value',
      ['file', '--log-url=http://h:1', '--vm', '--json'],
      {},
      ['--vm: needs a value: --vm=NAME'],
    ],
    [
      'a flag without its value at the end',
      ['file', '--log-url=http://h:1', '--vm'],
      {},
      ['--vm: needs a value: --vm=NAME'],
    ],
    [
      'too many arguments',
      [...GIVEN, 'b', 'c'],
      {},
      ['b: unexpected argument', 'c: unexpected argument'],
    ],
    [
      'a port out of range',
      [...GIVEN, '--port=65536'],
      {},
      ['--port: must be at most 65535'],
    ],
    [
      'a port in hexadecimal',
      [...GIVEN, '--port=0x10'],
      {},
      ['--port: must be a whole number'],
    ],
    [
      'an empty port',
      [...GIVEN, '--port='],
      {},
      ['--port: must be a whole number'],
    ],
    [
      'an empty variable',
      GIVEN,
      {BAOBABSPAN_PORT: ''},
      ['BAOBABSPAN_PORT: must be a whole number'],
    ],
    [
      'a negative time',
      [...GIVEN, '--drain-timeout=-1'],
      {},
      ['--drain-timeout: must be a number of seconds'],
    ],
    [
      'a time beyond any timer',
      [...GIVEN, '--drain-timeout=99999999'],
      {},
      ['--drain-timeout: must be at most 86400'],
    ],
    [
      'a URL of another protocol',
      ['--vm=a', 'f', '--log-url=ftp://h'],
      {},
      ['--log-url: Invalid URL'],
    ],
  ])('reports %s', (_, words, env, findings) => {
    expect(read(words, env)._unsafeUnwrapErr()).toEqual(findings);
  });
});

describe('unknownVariables', () => {
  it('reports variables that no command reads, with the nearest name', () => {
    const env = {BAOBABSPAN_PROT: '1', BAOBABSPAN_VM: 'a', PATH: '/'};
    expect(unknownVariables(COMMANDS, env)).toEqual([
      'BAOBABSPAN_PROT: unknown variable; did you mean BAOBABSPAN_PORT?',
    ]);
  });
});
