import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {LineCounter, isScalar, parseDocument, visit} from 'yaml';
import type {Document, Node, YAMLError} from 'yaml';

import {describeError} from '../errors/index.js';
import {crossCheck} from './cross_rules.js';
import {draftSchema} from './draft.js';
import {namesAt} from './json_schema.js';
import {PositionLocator} from './position_locator.js';
import type {Violation} from './rules/violation.js';
import {schemaViolations} from './schema_check.js';
import {
  MAX_TEXT_LENGTH,
  SCHEMA_VERSION,
  configurationSchema,
} from './schema.js';
import type {Configuration, Finding} from './types.js';

const START = {line: 1, column: 1};

function yamlFinding(
  positions: PositionLocator,
  {pos, message}: YAMLError,
): Finding {
  const [text = ''] = message.split('\n', 1);
  return {...positions.positionAt(pos[0]), message: text, rule: 'yaml'};
}

/** Returns findings for duplicate and forbidden keys of mappings. */
function keyFindings(
  document: Document,
  positions: PositionLocator,
): Finding[] {
  const found: Finding[] = [];
  const report = (key: Node, message: string, rule: string) =>
    found.push({...positions.positionAt(key.range?.[0] ?? 0), message, rule});
  visit(document, {
    Map: (_, {items}) => {
      const seen = new Set<string>();
      for (const {key} of items) {
        if (!isScalar(key)) continue;
        const name = String(key.value);
        if (seen.has(name)) {
          report(key, `${name} stands twice in one mapping`, 'duplicate-name');
        }
        if (name === '__proto__') {
          report(key, `${name}: unknown name`, 'unknown-name');
        }
        seen.add(name);
      }
    },
  });
  return found;
}

/** A parsed YAML text. */
interface ParsedYaml {
  readonly positions: PositionLocator;
  /** Findings for the keys of its mappings. */
  readonly findings: Finding[];
  readonly root: unknown;
}

/** Parses YAML; the parser throws on deep nesting and too many aliases. */
function parseYaml(text: string): Result<ParsedYaml, readonly Finding[]> {
  try {
    const lines = new LineCounter();
    const document = parseDocument(text, {
      lineCounter: lines,
      uniqueKeys: false,
    });
    const positions = new PositionLocator(document, lines);
    const findings = [...document.errors, ...document.warnings].map(error =>
      yamlFinding(positions, error),
    );
    // Values after a syntax error are unreliable.
    if (findings.length > 0) return err(sortFindings(findings));
    findings.push(...keyFindings(document, positions));
    return ok({positions, findings, root: document.toJS()});
  } catch (thrown) {
    return err([{...START, message: describeError(thrown), rule: 'yaml'}]);
  }
}

/** Returns the only violation of a text with a newer schema version. */
function newerSchemaViolation(root: unknown): Violation | undefined {
  const {schema} = (root ?? {}) as {schema?: unknown};
  if (!Number.isInteger(schema) || (schema as number) <= SCHEMA_VERSION) {
    return undefined;
  }
  const message = `schema version ${String(schema)} is newer than ${SCHEMA_VERSION}, the newest that this program knows`;
  return {path: ['schema'], message, rule: 'unknown-schema'};
}

/** Checks the values against the rules of their schema version. */
function checkValues(
  root: unknown,
): Result<Configuration, readonly Violation[]> {
  const newer = newerSchemaViolation(root);
  if (newer !== undefined) return err([newer]);
  const parsed = configurationSchema.safeParse(root);
  const issues = parsed.error?.issues ?? [];
  const drafted = draftSchema.safeParse(root);
  const violations = [
    ...schemaViolations(issues, root, namesAt),
    ...(drafted.success ? crossCheck(drafted.data) : []),
  ];
  if (parsed.success && violations.length === 0) return ok(parsed.data);
  return err(violations);
}

/**
 * Parses and checks a configuration text.
 * @param text - YAML
 * @returns the configuration, or every finding in the order of the text
 */
export function parseConfiguration(
  text: string,
): Result<Configuration, readonly Finding[]> {
  if (text.length > MAX_TEXT_LENGTH) {
    const message = `the text is longer than ${MAX_TEXT_LENGTH} characters`;
    return err([{...START, message, rule: 'too-long'}]);
  }
  const yaml = parseYaml(text);
  if (yaml.isErr()) return err(yaml.error);
  const {positions, findings, root} = yaml.value;
  const checked = checkValues(root);
  if (checked.isOk() && findings.length === 0) return ok(checked.value);
  for (const {path, atKey, message, rule} of checked.match(
    () => [],
    violations => violations,
  )) {
    findings.push({...positions.positionOf(path, atKey), message, rule});
  }
  return err(sortFindings(findings));
}

/** Returns the distinct findings in the order of the text. */
function sortFindings(findings: readonly Finding[]): Finding[] {
  const once = new Map(findings.map(one => [JSON.stringify(one), one]));
  return [...once.values()].sort(
    (a, b) => a.line - b.line || a.column - b.column,
  );
}
