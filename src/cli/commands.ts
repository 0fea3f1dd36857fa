import {checkCommand} from './check/index.js';
import {demoCommand} from './demo/index.js';
import {entryCommand} from './entry/index.js';
import {publishCommand} from './publish/index.js';
import type {Command} from './shared/command.js';
import {sidecarCommand} from './sidecar/index.js';
import {statusCommand} from './status/index.js';

/** All commands, in the order of the help. */
export const COMMANDS: readonly Command[] = [
  entryCommand,
  sidecarCommand,
  checkCommand,
  publishCommand,
  statusCommand,
  demoCommand,
];
