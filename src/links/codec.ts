import {Packr} from 'msgpackr';
import type {z} from 'zod';

import {Fault, describeError} from '../errors/index.js';

const packr = new Packr({useRecords: false});

/**
 * Encodes a message as one frame.
 * @param message - a plain object
 */
export function encode(message: object): Uint8Array {
  return packr.pack(message);
}

/**
 * Decodes and checks a frame.
 * @param schema - what the frame must be
 * @param frame - its bytes
 * @throws Fault `bad_frame` when it is anything else
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
