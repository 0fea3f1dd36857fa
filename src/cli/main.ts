#!/usr/bin/env node
/** Commands that run until a termination signal. */
const DAEMONS: readonly (string | undefined)[] = ['entry', 'sidecar'];

const args = process.argv.slice(2);
// While the program is being loaded, SIGHUP would have its default action.
if (DAEMONS.includes(args[0])) process.on('SIGHUP', () => undefined);
const {runCli} = await import('./cli.js');
process.exit(await runCli(args, process.env));
