#!/usr/bin/env node
import {cac} from 'cac';

import {describe} from '../errors/index.js';
import {PROGRAM_VERSION} from '../version.js';
import {checkCommand} from './check/index.js';
import {demoCommand} from './demo/index.js';
import {entryCommand} from './entry/index.js';
import {publishCommand} from './publish/index.js';
import {EXIT, complain} from './shared/command.js';
import type {Command} from './shared/command.js';
import {envName, readSettings} from './shared/settings.js';
import {sidecarCommand} from './sidecar/index.js';
import {statusCommand} from './status/index.js';

const COMMANDS: readonly Command[] = [
  entryCommand,
  sidecarCommand,
  checkCommand,
  publishCommand,
  statusCommand,
  demoCommand,
];

async function execute(
  command: Command,
  args: readonly string[],
  options: Readonly<Record<string, unknown>>,
): Promise<void> {
  const settings = readSettings(command.flags, options, process.env);
  if (settings.isErr()) {
    settings.error.forEach(complain);
    complain('See --help.');
    process.exitCode = EXIT.usage;
    return;
  }
  process.exitCode = await command.run(settings.value, args);
}

const cli = cac('baobabspan');
for (const command of COMMANDS) {
  const defined = cli
    .command(command.usage, command.summary)
    .allowUnknownOptions()
    .example(bin => `  ${bin} ${command.example}`);
  for (const flag of Object.values(command.flags)) {
    const value = flag.value === undefined ? '' : ` <${flag.value}>`;
    const fallback = flag.value && flag.fallback;
    const usual = fallback ? `, ${fallback} by default` : '';
    const text = `${flag.description} (${envName(flag)}${usual})`;
    defined.option(`--${flag.name}${value}`, text);
  }
  defined.action((...all: unknown[]) => {
    const options = all.pop() as Record<string, unknown>;
    const args = all.filter(arg => typeof arg === 'string');
    return execute(command, args, options);
  });
}
cli.help();
cli.version(PROGRAM_VERSION);

try {
  cli.parse(process.argv, {run: false});
  const {help, version} = cli.options as {help?: boolean; version?: boolean};
  if (cli.matchedCommand !== undefined) await cli.runMatchedCommand();
  else if (help !== true && version !== true) {
    cli.outputHelp();
    process.exitCode = EXIT.usage;
  }
} catch (thrown) {
  complain(describe(thrown));
  process.exitCode = EXIT.usage;
}
