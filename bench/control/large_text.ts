import {createHash} from 'node:crypto';

const MODELS = 33;
const ORGANISATIONS = 480;

function model(index: number): string[] {
  return [
    `  model-${index}:`,
    '    kind: model',
    '    upstreams: {zone-0: 14, zone-1: 13, zone-2: 13}',
    '    deadline: 30 s',
    '    priority: normal',
    `    limits: {concurrency: ${8 + (index % 24)}, queue: 64, body: 1 MiB}`,
  ];
}

function organisation(index: number, rate: number): string[] {
  const token = createHash('sha256').update(`token-${index}`).digest('hex');
  return [
    `  organisation-${index}:`,
    '    tokensSha256:',
    `      - ${token}`,
    '    # Limits as agreed with the customer; see the contract for the term.',
    `    limits: {requestsPerSecond: ${rate}, tokensPerSecond: ${rate * 200}, concurrency: 64}`,
    `    weight: ${1 + (index % 4)}`,
  ];
}

/**
 * Generates a configuration text of the target size, about 100 kB. Each
 * revision changes the limits of one organisation.
 * @param revision - number of the revision, from 0
 */
export function largeText(revision: number): string {
  const lines = [
    'schema: 1',
    'availabilityZones: [zone-0, zone-1, zone-2]',
    'services:',
  ];
  for (let i = 0; i < MODELS; i++) lines.push(...model(i));
  lines.push('organisations:');
  for (let i = 0; i < ORGANISATIONS; i++) {
    const changes = Math.floor((revision + ORGANISATIONS - i) / ORGANISATIONS);
    lines.push(...organisation(i, 10 + (i % 40) + changes));
  }
  return `${lines.join('\n')}\n`;
}
