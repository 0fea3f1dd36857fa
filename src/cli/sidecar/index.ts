import {Sidecar} from '../../daemons/sidecar/index.js';
import {defineCommand} from '../shared/command.js';
import {OWN, SHARED} from '../shared/flags.js';
import {daemonParts, runDaemon} from '../shared/run_daemon.js';

const {json: _, ...DAEMON} = SHARED;

/** `baobabspan sidecar` */
export const sidecarCommand = defineCommand({
  usage: 'sidecar',
  summary: 'Run the daemon beside one upstream',
  flags: {
    ...DAEMON,
    service: OWN.service,
    upstreamUrl: OWN.upstreamUrl,
    group: OWN.group,
    rank: OWN.rank,
    weightStoreUrl: OWN.weightStoreUrl,
    planEvery: OWN.planEvery,
  },
  example:
    'sidecar --vm depot-1 --availability-zone dar-kariakoo --service depot ' +
    '--upstream-url http://127.0.0.1:9000 --log-url http://127.0.0.1:7000 ' +
    '--vm-list-url http://127.0.0.1:7000 --link-key 0123456789abcdef',
  run: settings => {
    const parts = daemonParts(settings.logLevel);
    return runDaemon(new Sidecar(settings, parts));
  },
});
