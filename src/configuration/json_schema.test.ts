import {format} from 'prettier';
import {describe, expect, it} from 'vitest';

import {configurationJsonSchema, namesAt} from './json_schema.js';

describe('configurationJsonSchema', () => {
  // `vitest run src/configuration/json_schema -u` regenerates the file.
  it('matches the file in schema/', async () => {
    const json = JSON.stringify(configurationJsonSchema());
    const text = await format(json, {parser: 'json', bracketSpacing: false});
    await expect(text).toMatchFileSnapshot(
      '../../schema/configuration.schema.json',
    );
  });

  it.each([
    [[], 'availabilityZones'],
    [['services', 'any'], 'dependsOn'],
    [['services', 'any', 'limits'], 'inFlight'],
    [['services', 'any', 'routes', 3], 'idempotent'],
    [['organisations', 'any', 'limits'], 'tokensPerSecond'],
  ])('lists the names at %j', (path, name) => {
    expect(namesAt(path)).toContain(name);
  });
});
