import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {request} from 'undici';

/** VM as a test lists it. */
export interface TestVm {
  readonly vm: string;
  readonly availabilityZone: string;
  readonly role: 'entry' | 'sidecar';
  readonly service?: string;
  readonly state: 'live' | 'leaving';
  readonly address: string;
}

/**
 * Proxy of the platform for one availability zone. Its VM list holds the
 * addresses of the zone's relays, and it can be disconnected.
 */
export class PlatformProxy {
  private readonly server: Server;
  private readonly openRequests = new Set<AbortController>();
  private isCut = false;

  /**
   * @param platformUrl - URL of the stand-in for the platform
   * @param addressOf - returns the address at which the zone reaches a VM
   */
  constructor(
    private readonly platformUrl: string,
    private readonly addressOf: (vm: TestVm) => string,
  ) {
    this.server = createServer((req, res) => {
      this.forward(req, res).catch(() => res.destroy());
    });
  }

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  cut(): void {
    this.isCut = true;
    for (const controller of this.openRequests) controller.abort();
  }

  heal(): void {
    this.isCut = false;
  }

  async close(): Promise<void> {
    this.cut();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async forward(req: IncomingMessage, res: ServerResponse) {
    if (this.isCut) throw new Error('cut');
    const controller = new AbortController();
    this.openRequests.add(controller);
    try {
      const answer = await request(`${this.platformUrl}${req.url}`, {
        method: req.method as 'GET',
        body: req.method === 'POST' ? req : null,
        signal: controller.signal,
      });
      const text = await answer.body.text();
      res.statusCode = answer.statusCode;
      res.end(req.url === '/vms' ? this.rewrite(text) : text);
    } finally {
      this.openRequests.delete(controller);
    }
  }

  private rewrite(text: string): string {
    const {vms} = JSON.parse(text) as {vms: TestVm[]};
    const proxied = vms.map(vm => ({...vm, address: this.addressOf(vm)}));
    return JSON.stringify({vms: proxied});
  }
}
