import type {Configuration, RelayPeer} from '../../configuration/index.js';
import type {Incarnation, Version} from '../../core/index.js';
import type {Member} from '../../membership/index.js';
import type {
  ConfigurationPorts,
  ConfigurationTask,
} from './configuration_task.js';
import type {LinksTask} from './links_task.js';
import type {MembersPorts} from './members_task.js';

/**
 * Connects the configuration task to the links.
 * @param links - the links of the process
 * @param onInForce - called with each version that comes into force
 */
export function configurationPorts(
  links: LinksTask,
  onInForce: (version: Version, cfg: Configuration) => void,
): ConfigurationPorts {
  return {
    onInForce,
    send: (to, message) => links.post({type: 'send', to, message}),
    dial: addresses =>
      links.post({type: 'want', purpose: 'control', addresses}),
  };
}

function toRelayPeer(member: Member): RelayPeer {
  const {vm, availabilityZone, address, linked, incarnation} = member;
  const process = linked ? incarnation : undefined;
  return {vm, availabilityZone, address, incarnation: process};
}

/**
 * Connects the members task to the links and the configuration task.
 * @param links - the links of the process
 * @param configuration - returns the task, once it runs
 * @param daemon - the daemon's own actions
 */
export function membersPorts(
  links: LinksTask,
  configuration: () => ConfigurationTask | undefined,
  daemon: {onDeparture(process: Incarnation): void; leave(): void},
): MembersPorts {
  return {
    onDeparture: process => daemon.onDeparture(process),
    leave: () => daemon.leave(),
    onMembersChanged: members => {
      const task = configuration();
      const peers = members.filter(({vm, leaving}) => {
        return vm !== links.self.vm && !leaving;
      });
      task?.post({type: 'members', peers: peers.map(toRelayPeer)});
    },
    relayPeers: () => configuration()?.relayPeers() ?? [],
    send: (to, message) => links.post({type: 'send', to, message}),
  };
}
