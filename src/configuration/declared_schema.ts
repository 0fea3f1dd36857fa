import {parseDocument} from 'yaml';

import {SCHEMA_VERSION} from './schema.js';

/**
 * Tells whether only a newer program can judge a text. A text that is not
 * YAML, or that declares no whole schema number, is wrong for every program.
 * @param text - a text that this program could not parse
 */
export function declaresNewerSchema(text: string): boolean {
  const document = parseDocument(text);
  if (document.errors.length > 0) return false;
  const declared: unknown = document.get?.('schema');
  return Number.isSafeInteger(declared) && Number(declared) > SCHEMA_VERSION;
}
