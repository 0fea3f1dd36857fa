import {hostPort} from '../../core/index.js';
import type {Containment, Logger} from '../../observability/index.js';
import {OperatorServer} from '../shared/operator_server.js';
import type {OperatorHandlers} from '../shared/operator_server.js';
import {splitAddress} from './attempt.js';
import {bindWhenFree} from './bind_when_free.js';
import type {DirectParts, DirectSettings} from './estate.js';
import type {FrontServer} from './front_server.js';

/** Servers of an entry. */
export interface EntryServers {
  readonly front: FrontServer;
  readonly readiness: OperatorServer;
  readonly operators: OperatorServer;
}

/**
 * Binds the ports of an entry. It serves requests without the operators' port; the
 * balancer sends some once the readiness port responds, so that comes last.
 * @param settings - addresses of the ports
 * @param servers - the servers
 * @param containment - contains failures of the operators' port
 * @param logger - logs ports that are taken
 */
export async function bindEntryPorts(
  {callers, readiness, ip, operatorPort}: DirectSettings,
  servers: EntryServers,
  containment: Containment,
  logger: Logger,
): Promise<void> {
  const operators = hostPort(ip, operatorPort);
  void containment.runAsync('process', {address: operators}, () =>
    bindWhenFree(operators, logger, () =>
      servers.operators.listen(ip, operatorPort),
    ),
  );
  if (callers !== undefined) {
    await bindWhenFree(callers, logger, () => servers.front.listen(callers));
  }
  if (readiness === undefined) return;
  const {host, port} = splitAddress(readiness);
  await bindWhenFree(readiness, logger, () =>
    servers.readiness.listen(host, port),
  );
}

/**
 * Creates the servers of the operators' and the readiness port.
 * @param parts - clock, logger, metrics and platform services
 * @param view - readiness and status of the entry
 * @param actions - actions of the operators' port
 * @returns the operators' server, then the readiness server
 */
export function createOperatorServers(
  parts: DirectParts,
  view: Pick<OperatorHandlers, 'notReadyReason' | 'status'>,
  actions: NonNullable<OperatorHandlers['actions']>,
): [OperatorServer, OperatorServer] {
  const {readinessPath} = parts.estate;
  const handlers = {...parts, ...view, readinessPath};
  return [
    new OperatorServer({...handlers, actions}),
    new OperatorServer(handlers),
  ];
}
