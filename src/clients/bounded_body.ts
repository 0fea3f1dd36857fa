import {SegmentedBuffer} from '../core/index.js';

/** Size limit of a body with records or a listing; calls carry 2 MiB at most. */
export const MAX_PAGE_BYTES = 8 * 2 ** 20;

/**
 * Reads a body up to a size limit. A longer one fails the call and closes its
 * connection: a faulty peer may send bytes without end.
 * @param body - the body
 * @param limit - its size limit, bytes
 * @throws {Error} if the body is longer
 */
export async function readBounded(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<Buffer> {
  const received = new SegmentedBuffer();
  for await (const chunk of body) {
    if (received.size + chunk.length > limit)
      throw new Error(`body of more than ${limit} bytes`);
    received.append(chunk);
  }
  return received.take();
}
