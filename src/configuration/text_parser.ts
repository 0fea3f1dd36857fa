import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {parseDocument} from 'yaml';

import {parseConfiguration} from './parse.js';
import {SCHEMA_VERSION} from './schema.js';
import type {Configuration} from './types.js';

/** Why a text was rejected. */
export type TextRejection =
  /** Invalid for every program version. */
  | {readonly kind: 'invalid'; readonly detail: string}
  /** Only a newer program can validate it. */
  | {readonly kind: 'newer_schema'};

/** Validates texts by the schema versions that a program supports. */
export abstract class TextParser {
  /**
   * Parses a text. The rules of a released schema version never change, so all
   * programs that support the version agree.
   * @param text - YAML
   */
  abstract parse(text: string): Result<Configuration, TextRejection>;
}

/** The schema versions of this program. */
export class CurrentTextParser extends TextParser {
  parse(text: string): Result<Configuration, TextRejection> {
    const parsed = parseConfiguration(text);
    if (parsed.isOk()) return ok(parsed.value);
    if (declaresNewerSchema(text)) return err({kind: 'newer_schema'});
    const [first] = parsed.error;
    const detail = `${first?.line}:${first?.column}: ${first?.message}`;
    return err({kind: 'invalid', detail});
  }
}

function declaresNewerSchema(text: string): boolean {
  const document = parseDocument(text);
  if (document.errors.length > 0) return false;
  const contents: unknown = document.toJS();
  if (typeof contents !== 'object' || contents === null) return false;
  if (!('schema' in contents)) return false;
  const {schema} = contents;
  return Number.isSafeInteger(schema) && Number(schema) > SCHEMA_VERSION;
}
