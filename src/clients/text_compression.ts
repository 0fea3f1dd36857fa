import {createHash} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {TextCodec} from '../configuration/index.js';

/** Largest text that is decompressed, bytes. */
const MAX_TEXT_BYTES = 4 * 2 ** 20;

/** Text codec that uses raw DEFLATE. */
export class DeflateCodec extends TextCodec {
  deflate(text: string): Uint8Array<ArrayBuffer> {
    return new Uint8Array(deflateRawSync(text));
  }

  inflate(bytes: Uint8Array): string | undefined {
    try {
      const options = {maxOutputLength: MAX_TEXT_BYTES};
      return inflateRawSync(bytes, options).toString('utf8');
    } catch {
      return undefined;
    }
  }

  digest(text: string): string {
    return createHash('sha256').update(text).digest('hex');
  }
}

const codec = new DeflateCodec();

/**
 * Compresses the text of a record for the log.
 * @param record - a publication or checkpoint
 */
export function compressRecord<T extends {readonly text: string}>({
  text,
  ...rest
}: T): Omit<T, 'text'> & {readonly deflated: string} {
  const bytes = codec.deflate(text);
  return {...rest, deflated: Buffer.from(bytes).toString('base64')};
}

/**
 * Reverses `compressRecord`. Returns any other data unchanged, so that all
 * readers reject it alike.
 * @param data - unvalidated record of the log
 */
export function expandRecord(data: unknown): unknown {
  if (typeof data !== 'object' || data === null) return data;
  if (!('deflated' in data) || 'text' in data) return data;
  const {deflated, ...rest} = data;
  if (typeof deflated !== 'string') return data;
  const text = codec.inflate(Buffer.from(deflated, 'base64'));
  return text === undefined ? data : {...rest, text};
}
