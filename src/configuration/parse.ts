import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {LineCounter, parseDocument} from 'yaml';
import type {Document, Node} from 'yaml';

import {crossCheck} from './cross_rules.js';
import type {Violation} from './cross_rules.js';
import {configurationSchema} from './schema.js';
import type {Configuration, Finding} from './types.js';

/** Finds the place of a path in a YAML document. */
class Places {
  constructor(
    private readonly document: Document,
    private readonly lines: LineCounter,
  ) {}

  /** Line and column of the deepest node that exists along the path. */
  of(path: readonly PropertyKey[]): {line: number; column: number} {
    for (let length = path.length; length > 0; length--) {
      const node = this.document.getIn(path.slice(0, length), true) as Node;
      if (node?.range) return this.at(node.range[0]);
    }
    return this.at(this.document.contents?.range?.[0] ?? 0);
  }

  at(offset: number): {line: number; column: number} {
    const {line, col} = this.lines.linePos(offset);
    return {line: Math.max(line, 1), column: Math.max(col, 1)};
  }
}

/**
 * Parses and checks a configuration text.
 * @param text - YAML
 * @returns the configuration, or every finding in the order of the text
 */
export function parseConfiguration(
  text: string,
): Result<Configuration, readonly Finding[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  const places = new Places(document, lines);
  if (document.errors.length > 0) {
    return err(
      document.errors.map(({pos, message, code}) => ({
        ...places.at(pos[0]),
        message: message.split('\n', 1)[0] ?? '',
        rule: code === 'DUPLICATE_KEY' ? 'duplicate-name' : 'yaml',
      })),
    );
  }
  const parsed = configurationSchema.safeParse(document.toJS());
  const violations: Violation[] = parsed.success
    ? crossCheck(parsed.data)
    : parsed.error.issues.map(({path, message}) => ({
        path,
        message: `${path.join('.') || 'text'}: ${message}`,
        rule: 'schema',
      }));
  if (parsed.success && violations.length === 0) return ok(parsed.data);
  const findings = violations.map(({path, message, rule}) => ({
    ...places.of(path),
    message,
    rule,
  }));
  findings.sort((a, b) => a.line - b.line || a.column - b.column);
  return err(findings);
}
