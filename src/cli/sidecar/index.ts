import {Sidecar} from '../../daemons/sidecar/index.js';
import {defineCommand} from '../shared/command.js';
import {COMMAND_FLAGS, SHARED_FLAGS} from '../shared/flags.js';
import {createDaemonParts, runDaemon} from '../shared/run_daemon.js';

const {json: _, ...DAEMON} = SHARED_FLAGS;

/** `baobabspan sidecar` */
export const sidecarCommand = defineCommand({
  usage: 'sidecar',
  summary: 'Run the daemon beside one upstream',
  flags: {
    ...DAEMON,
    service: COMMAND_FLAGS.service,
    upstreamUrl: COMMAND_FLAGS.upstreamUrl,
    group: COMMAND_FLAGS.group,
    rank: COMMAND_FLAGS.rank,
    weightStoreUrl: COMMAND_FLAGS.weightStoreUrl,
    planEvery: COMMAND_FLAGS.planEvery,
  },
  example:
    'sidecar --vm depot-1 --availability-zone dar-kariakoo --service depot ' +
    '--upstream-url http://127.0.0.1:9000 --log-url http://127.0.0.1:7000 ' +
    '--vm-list-url http://127.0.0.1:7000 --link-key 0123456789abcdef',
  run: settings => {
    const parts = createDaemonParts(settings.logLevel);
    return runDaemon(new Sidecar(settings, parts), parts);
  },
});
