import {z} from 'zod';

import {SCHEMA_VERSION, configurationSchema} from './schema.js';

/** The fields of a JSON Schema node that are traversed here. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly additionalProperties?: SchemaNode | boolean;
  readonly items?: SchemaNode;
  readonly oneOf?: readonly SchemaNode[];
  readonly anyOf?: readonly SchemaNode[];
}

/** Returns the JSON Schema of the configuration text, for editors. */
export function configurationJsonSchema(): object {
  const schema = z.toJSONSchema(configurationSchema, {io: 'input'});
  const title = `baobabspan configuration, schema version ${SCHEMA_VERSION}`;
  return {...schema, title};
}

let root: SchemaNode | undefined;

/**
 * Returns the names that a mapping of the text may have.
 * @param path - path of the mapping
 */
export function namesAt(path: readonly PropertyKey[]): readonly string[] {
  root ??= configurationJsonSchema();
  let nodes: readonly SchemaNode[] = [root];
  for (const step of path) {
    nodes = alternatives(nodes).flatMap(node => child(node, step));
  }
  const names = alternatives(nodes).flatMap(node =>
    Object.keys(node.properties ?? {}),
  );
  return [...new Set(names)];
}

function alternatives(nodes: readonly SchemaNode[]): SchemaNode[] {
  return nodes.flatMap(node => [
    node,
    ...(node.oneOf ?? []),
    ...(node.anyOf ?? []),
  ]);
}

function child(node: SchemaNode, step: PropertyKey): SchemaNode[] {
  const {properties = {}, additionalProperties, items} = node;
  if (typeof step === 'number') return items === undefined ? [] : [items];
  const named = Object.hasOwn(properties, step)
    ? properties[step as string]
    : undefined;
  if (named !== undefined) return [named];
  return typeof additionalProperties === 'object' ? [additionalProperties] : [];
}
