import {once} from 'node:events';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {HttpVmListClient} from './vm_list_client.js';

const servers: Server[] = [];

async function serve(body: string): Promise<string> {
  const server = createServer((_req, res) => res.end(body));
  servers.push(server.listen(0, '127.0.0.1'));
  await once(server, 'listening');
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => servers.splice(0).forEach(server => server.close()));

const vm = (fields: object = {}) => ({
  vm: 'entry-1',
  availabilityZone: 'a',
  address: '10.0.0.1:7',
  state: 'live',
  role: 'entry',
  ...fields,
});
const NESTED = `${'{"a":'.repeat(200_000)}1${'}'.repeat(200_000)}`;

describe('HttpVmListClient', () => {
  it.each<[string, string]>([
    [
      'has a port out of range',
      JSON.stringify(vm({address: '10.0.0.2:99999'})),
    ],
    ['has no port', JSON.stringify(vm({address: '10.0.0.2'}))],
    ['has another state', JSON.stringify(vm({state: 'odd'}))],
    ['lacks its fields', '{}'],
    ['is a number', '1e999'],
    ['is nested deeply', NESTED],
  ])('follows the others while one VM of the list %s', async (_name, odd) => {
    const good = JSON.stringify(vm());
    const url = await serve(`{"vms":[${odd},${good}]}`);
    const list = (await new HttpVmListClient(url).fetch())._unsafeUnwrap();
    expect(list.vms.map(({address}) => address)).toEqual(['10.0.0.1:7']);
    expect(list.rejected).toHaveLength(1);
  });
});
