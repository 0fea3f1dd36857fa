/** Header lines of a message; names keep their original case. */
export type HeaderLines = readonly (readonly [name: string, value: string])[];

const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Octets as Latin-1 text, without control characters other than tabs. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Text without control characters and without surrounding white space. */
const HEADER_TEXT = /^(?!\s)[^\p{Cc}]*(?<!\s)$/u;

/** Letters of a malformed name that a log line or an error shows. */
const MAX_SHOWN_LETTERS = 40;

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const MAX_SUCCESS_STATUS = 299;

/**
 * Returns header lines as pairs.
 * @param raw - alternating names and values
 */
export function headerPairs(raw: readonly string[]): HeaderLines {
  const lines: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    lines.push([raw[i] as string, raw[i + 1] as string]);
  }
  return lines;
}

/**
 * Returns the quoted name of the first malformed header line. HTTP parsers
 * let some of them pass, and HTTP writers throw when given one.
 * @param lines - the header lines
 */
export function malformedField(lines: HeaderLines): string | undefined {
  const line = lines.find(
    ([name, value]) => !FIELD_NAME.test(name) || !FIELD_VALUE.test(value),
  );
  return line && JSON.stringify(line[0].slice(0, MAX_SHOWN_LETTERS));
}

/**
 * Returns whether a text can be sent as a header value, see `toFieldValue`.
 * @param text - the text
 */
export function isHeaderText(text: string): boolean {
  return HEADER_TEXT.test(text);
}

/**
 * Encodes a text as a header value. Header values are octets, and HTTP writers
 * take them as Latin-1 text: other letters are sent as UTF-8.
 * @param text - the text
 */
export function toFieldValue(text: string): string {
  return Array.from(new TextEncoder().encode(text), octet =>
    String.fromCharCode(octet),
  ).join('');
}

/**
 * Decodes a header value that `toFieldValue` encoded.
 * @param value - the value, octets as Latin-1 text
 */
export function fromFieldValue(value: string): string {
  const octets = Uint8Array.from(value, letter => letter.charCodeAt(0));
  return new TextDecoder().decode(octets);
}

/**
 * Returns whether a status may be that of a final response.
 * @param status - the status
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Returns whether a final response is a success.
 * @param status - its status
 */
export function isSuccessStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_SUCCESS_STATUS;
}
