import {Entry} from '../../daemons/entry/index.js';
import {defineCommand} from '../shared/command.js';
import {COMMAND_FLAGS, SHARED_FLAGS} from '../shared/flags.js';
import {createDaemonParts, runDaemon} from '../shared/run_daemon.js';

const {json: _, ...DAEMON} = SHARED_FLAGS;

/** `baobabspan entry` */
export const entryCommand = defineCommand({
  usage: 'entry',
  summary: 'Run the daemon in front of callers',
  flags: {...DAEMON, port: COMMAND_FLAGS.port},
  example:
    'entry --vm entry-1 --availability-zone dar-kariakoo --port 8080 ' +
    '--log-url http://127.0.0.1:7000 --vm-list-url http://127.0.0.1:7000 ' +
    '--link-key 0123456789abcdef',
  run: settings => {
    const parts = createDaemonParts(settings.logLevel);
    return runDaemon(new Entry(settings, parts), parts);
  },
});
