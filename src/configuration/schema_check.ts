import type {z} from 'zod';

import {suggestion} from './rules/violation.js';
import type {Violation} from './rules/violation.js';

type Issue = z.core.$ZodIssue;

const RULE = 'schema';

/** Returns the value at a path, if the whole path exists. */
function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

function describeIssue(issue: Issue, value: unknown): string {
  if (issue.code === 'invalid_key') {
    return issue.issues[0]?.message ?? issue.message;
  }
  if (value === undefined || value === null) return 'is missing';
  switch (issue.code) {
    case 'invalid_value':
      return `must be ${issue.values.map(String).join(' or ')}`;
    case 'too_small':
      return `must be ${issue.inclusive ? 'at least' : 'more than'} ${describeBound(issue.minimum, issue.origin)}`;
    case 'too_big':
      return `must be at most ${describeBound(issue.maximum, issue.origin)}`;
    case 'invalid_union':
      return 'must be model or plain';
    case 'invalid_type':
      // Fields with a unit have their own message.
      return issue.message.startsWith('Invalid input')
        ? `must be ${describeType(issue.expected)}`
        : issue.message;
    default:
      return issue.message;
  }
}

/** Formats a bound with its unit. */
function describeBound(limit: number | bigint, origin: string): string {
  if (origin === 'string') return `${limit} characters`;
  if (origin !== 'array') return String(limit);
  return `${limit} item${limit === 1 ? '' : 's'}`;
}

function describeType(expected: string): string {
  if (expected === 'int') return 'a whole number';
  if (expected === 'object' || expected === 'record') return 'a mapping';
  if (expected === 'array') return 'a list';
  return `a ${expected}`;
}

function unknownKeys(
  {path, keys}: Extract<Issue, {code: 'unrecognized_keys'}>,
  known: readonly string[],
): Violation[] {
  return keys.map(key => ({
    path: [...path, key],
    message: `${key}: unknown name${suggestion(key, known)}`,
    rule: 'unknown-name',
    atKey: true,
  }));
}

/**
 * Converts schema issues to violations.
 * @param issues - the issues of the schema
 * @param root - the value that was checked
 * @param namesAt - returns the names that the schema allows at a path
 */
export function schemaViolations(
  issues: readonly Issue[],
  root: unknown,
  namesAt: (path: readonly PropertyKey[]) => readonly string[],
): Violation[] {
  return issues.flatMap((issue): Violation[] => {
    const {path, code} = issue;
    if (code === 'unrecognized_keys') return unknownKeys(issue, namesAt(path));
    const label = path.map(String).join('.') || 'text';
    const message = `${label}: ${describeIssue(issue, valueAt(root, path))}`;
    return [{path, message, rule: RULE, atKey: code === 'invalid_key'}];
  });
}
