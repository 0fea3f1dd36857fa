// Runs the tests and passes over the failing ones that KNOWN-RED.txt names.
import {spawnSync} from 'node:child_process';
import {rmSync} from 'node:fs';

// A report of an earlier run must not stand for one that did not finish.
rmSync('dist/test_results.json', {force: true});
const args = [
  'node_modules/vitest/vitest.mjs',
  'run',
  ...process.argv.slice(2),
];
const {status} = spawnSync(process.execPath, args, {stdio: 'inherit'});
if (status !== 0) await import('./known_red.js');
