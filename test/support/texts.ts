import {err, ok} from 'neverthrow';

import {
  CurrentTextParser,
  TextParser,
  recordId,
  version,
} from '../../src/index.js';

/** Returns a minimal configuration text, identified by the name of its zone. */
export function tinyText(name: string, schema = 1): string {
  return `schema: ${schema}\navailabilityZones: [${name}]\nservices: {}\norganisations: {}\n`;
}

/** Returns a publication record as an operator appends it. */
export function publicationOf(base: number, text: string, id: string) {
  return {
    kind: 'publication' as const,
    id: recordId(id),
    base: version(base),
    author: `author-of-${id}`,
    text,
  };
}

/** Parser that also accepts schema 2, which it parses as schema 1. */
export class NewerTextParser extends TextParser {
  private readonly current = new CurrentTextParser();

  parse(text: string) {
    return this.current.parse(text.replace(/^schema: 2$/m, 'schema: 1'));
  }
}

/** Caches parser results, for many nodes in one process. */
export class CachingParser extends TextParser {
  private readonly known = new Map<string, ReturnType<TextParser['parse']>>();

  constructor(private readonly parser: TextParser) {
    super();
  }

  parse(text: string) {
    const known = this.known.get(text) ?? this.parser.parse(text);
    this.known.set(text, known);
    return known.isOk() ? ok(known.value) : err(known.error);
  }
}
