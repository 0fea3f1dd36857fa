import type {Service} from '../../configuration/index.js';
import {MINUTE} from '../../core/index.js';
import type {GroupMessage} from '../../expert_groups/index.js';
import type {LinkMessage} from '../../links/index.js';
import type {ListedVm} from '../../membership/index.js';
import {
  HttpRankEngineClient,
  HttpWeightStoreClient,
} from '../../clients/index.js';
import type {DaemonContext} from '../shared/context.js';
import type {LinksTask} from '../shared/links_task.js';
import {GroupTask} from './group_task.js';
import type {SidecarSettings} from './types.js';

/**
 * Creates the group task if the sidecar's upstream is a rank of a group.
 * @param context - shared context of the daemon's tasks
 * @param settings - the daemon's settings
 * @param links - the links of the process
 */
export function createGroupTask(
  context: DaemonContext,
  settings: SidecarSettings,
  links: LinksTask,
): GroupTask | undefined {
  const {group, rank = 0, service, upstreamUrl, planEvery} = settings;
  if (group === undefined || group === '') return undefined;
  const groupSettings = {group, rank, service, planEvery: planEvery ?? MINUTE};
  return new GroupTask(context, groupSettings, {
    engine: new HttpRankEngineClient(upstreamUrl),
    store: new HttpWeightStoreClient(settings.weightStoreUrl ?? upstreamUrl),
    send: (to, message) => links.post({type: 'send', to, message}),
  });
}

/**
 * Passes the expert group's configuration to the group task.
 * @param task - the group task, if the upstream is a rank
 * @param service - the service of the upstream
 */
export function configureGroup(
  task: GroupTask | undefined,
  service: Service | undefined,
): void {
  if (service?.kind !== 'model' || !service.expertGroup) return;
  task?.post({type: 'configured', cfg: service.expertGroup});
}

/**
 * Dials the sidecars of the other ranks, if this is the coordinator's sidecar.
 * @param links - the links of the process
 * @param settings - the daemon's settings
 * @param vms - the platform's VM list
 */
export function dialGroup(
  links: LinksTask,
  {rank, vm, service}: SidecarSettings,
  vms: readonly ListedVm[],
): void {
  if (rank !== 0) return;
  const others = vms.filter(
    other =>
      other.role === 'sidecar' && other.service === service && other.vm !== vm,
  );
  const addresses = new Set(others.map(({address}) => address));
  links.post({type: 'want', purpose: 'group', addresses});
}

/**
 * Returns whether a message belongs to the protocol of expert groups.
 * @param message - the message
 */
export function isGroupMessage(message: LinkMessage): message is GroupMessage {
  return message.type.startsWith('group_');
}
