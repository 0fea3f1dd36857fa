import {readFileSync} from 'node:fs';

import {describe, expect, it} from 'vitest';

import {parseConfiguration} from './parse.js';

const read = (path: string) =>
  readFileSync(new URL(path, import.meta.url), 'utf8');

const findingsOf = (text: string) =>
  parseConfiguration(text).match(
    () => [],
    findings =>
      findings.map(
        ({line, column, message, rule}) =>
          `${line}:${column}: ${message} (${rule})`,
      ),
  );

const DIGEST = 'f'.repeat(64);

/** Returns a small valid text with other lines inserted. */
function text({root = '', service = '', other = '', rest = ''} = {}): string {
  return `schema: 1
availabilityZones: [z1, z2]
${root}
services:
  depot:
    kind: plain
    upstreams: {z1: 1, z2: 1}
    routes: [{method: GET, path: /x, idempotent: true}]
    ${service}
  model:
    kind: model
    upstreams: {z1: 1}
    ${other}
${rest}
organisations:
  vans:
    tokensSha256: [${DIGEST}]
    limits: {requestsPerSecond: 1, tokensPerSecond: 10, concurrency: 1}
`;
}

describe('parseConfiguration', () => {
  it('reports all findings of a text in order', async () => {
    const findings = findingsOf(read('__golden__/many_faults.yaml'));
    await expect(`${findings.join('\n')}\n`).toMatchFileSnapshot(
      '__golden__/many_faults.findings.txt',
    );
  });

  it.each(['kivuli', 'maison'])('finds nothing in examples/%s', name => {
    expect(findingsOf(read(`../../examples/${name}.yaml`))).toEqual([]);
  });

  it('finds nothing in the base text of the tables', () => {
    expect(findingsOf(text())).toEqual([]);
  });

  it.each([
    ['a broken flow', 'schema: [1', 'yaml'],
    ['a tab as indent', 'a:\n\tb: 1', 'yaml'],
    ['two documents', `${text()}---\n${text()}`, 'yaml'],
    ['an unknown tag', 'schema: !x 1', 'yaml'],
    ['an alias of nothing', 'schema: *x', 'yaml'],
    ['nesting without end', '['.repeat(100_000), 'yaml'],
    [
      'aliases that multiply',
      `a: &a [1]\n${[...'bcdefgh']
        .map((k, i) => `${k}: &${k} [${`*${'abcdefgh'[i]},`.repeat(20)}]`)
        .join('\n')}`,
      'yaml',
    ],
    ['a text that is too long', `#${'x'.repeat(5 * 2 ** 20)}`, 'too-long'],
    ['nothing', '', 'schema'],
    ['a scalar', 'hello', 'schema'],
    ['a list', '- 1', 'schema'],
    ['a newer schema', 'schema: 2\nbrandNew: yes', 'unknown-schema'],
    ['an older schema', text().replace('schema: 1', 'schema: 0'), 'schema'],
    ['a schema in quotes', text().replace('1', "'1'"), 'schema'],
  ])('rejects %s', (_, faulty, rule) => {
    const findings = parseConfiguration(faulty)._unsafeUnwrapErr();
    expect(findings.map(finding => finding.rule)).toContain(rule);
    for (const {line, column} of findings) {
      expect(Math.min(line, column)).toBeGreaterThan(0);
    }
  });

  it('reports only the version of a newer schema', () => {
    expect(findingsOf('schema: 2\nbrandNew: yes')).toEqual([
      '1:9: schema version 2 is newer than 1, the newest that this program knows (unknown-schema)',
    ]);
  });

  it.each([
    [
      'a dependency called constructor',
      {service: 'dependsOn: [{service: constructor}]'},
      ['missing-dependency'],
    ],
    [
      'a zone called constructor',
      {
        other: 'dependsOn: []',
        service: 'checksFencing: true',
        rest: '  odd:\n    kind: model\n    upstreams: {constructor: 1}',
      },
      ['unknown-name'],
    ],
    [
      'a cycle of two',
      {
        service: 'dependsOn: [{service: model}]',
        other: 'dependsOn: [{service: depot}]',
      },
      ['dependency-cycle'],
    ],
    [
      'a cycle of one',
      {other: 'dependsOn: [{service: model}]'},
      ['dependency-cycle'],
    ],
    [
      'shares above one',
      {
        other: 'dependsOn: [{service: depot, share: 0.6}]',
        rest: '  b:\n    kind: model\n    upstreams: {z1: 1}\n    dependsOn: [{service: depot}]',
      },
      ['share-sum'],
    ],
    [
      'shares of exactly one',
      {
        other: 'dependsOn: [{service: depot, share: 0.7}]',
        rest: '  b:\n    kind: model\n    upstreams: {z1: 1}\n    dependsOn: [{service: depot, share: 0.3}]',
      },
      [],
    ],
    [
      'a service called __proto__',
      {rest: '  __proto__:\n    kind: model\n    upstreams: {z1: 1}'},
      ['unknown-name'],
    ],
    [
      'a model of two services',
      {
        other: 'model: same',
        rest: '  same:\n    kind: model\n    upstreams: {z1: 1}',
      },
      ['duplicate-name'],
    ],
    ['a bare number for a span', {service: 'deadline: 30'}, ['schema']],
    ['a span without a unit', {service: 'deadline: "30"'}, ['schema']],
    ['a span of an unknown unit', {service: 'deadline: 30 d'}, ['schema']],
    ['a negative span', {service: 'deadline: -1 s'}, ['schema']],
    ['a span above a day', {service: 'deadline: 25 h'}, ['schema']],
    [
      'a size of an unknown unit',
      {service: 'limits: {body: 1 MB}'},
      ['schema'],
    ],
    ['a size of nothing', {service: 'limits: {buffered: 0 B}'}, ['schema']],
    [
      'a body that no link carries',
      {service: 'limits: {body: 9 MiB}'},
      ['schema'],
    ],
    [
      'a header with a meaning of its own',
      {root: 'organisationHeader: Baobabspan-Priority'},
      ['reserved-name'],
    ],
    ['a header that is none', {root: 'organisationHeader: "a b"'}, ['schema']],
    [
      'an infinite weight',
      {
        root: '',
        other:
          'expertGroup: {ranks: 1, layers: 1, experts: 1, slotsPerRank: 1, expertSize: 1 B, weightSkew: .inf, weightCost: 1}',
      },
      ['schema'],
    ],
  ])('checks %s', (_, parts, rules) => {
    const found = parseConfiguration(text(parts)).match(
      () => [],
      findings => findings.map(({rule}) => rule),
    );
    expect(found).toEqual(rules);
  });

  it('returns durations in ms and sizes in bytes', () => {
    const service = 'deadline: 1.5 min\n    limits: {body: 64KiB}';
    const parsed = parseConfiguration(text({service}))._unsafeUnwrap();
    const {deadline, limits} = Object.values(parsed.services)[0]!;
    expect([deadline, limits.body]).toEqual([90_000, 65_536]);
  });

  it('traverses a long chain and a dense graph of dependencies quickly', () => {
    const names = Array.from({length: 900}, (_, i) => `s${i}`);
    const services = names.map((name, i) => {
      const next = names.slice(i + 1, i + 4);
      const items = next.map(to => `{service: ${to}, share: 0.3}`).join(', ');
      return `  ${name}: {kind: model, upstreams: {z1: 1}, dependsOn: [${items}]}`;
    });
    expect(findingsOf(text({rest: services.join('\n')}))).toEqual([]);
  });
});
