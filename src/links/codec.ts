import {Packr} from 'msgpackr';
import type {z} from 'zod';

import {Fault, describeError} from '../errors/index.js';

const packr = new Packr({useRecords: false});

/**
 * Encodes a message as one MessagePack frame.
 * @param message - a plain object
 */
export function encode(message: object): Uint8Array {
  return packr.pack(message);
}

/**
 * Decodes and validates a frame.
 * @param schema - schema of the message
 * @param frame - bytes of the frame
 * @throws Fault `bad_frame` if the frame does not match the schema
 */
export function decode<T extends z.ZodType>(
  schema: T,
  frame: Uint8Array,
): z.output<T> {
  let value: unknown;
  try {
    value = packr.unpack(frame);
  } catch (thrown) {
    throw new Fault('bad_frame', describeError(thrown));
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const place = issue?.path.join('.') || 'message';
  throw new Fault('bad_frame', `${place}: ${issue?.message}`);
}
