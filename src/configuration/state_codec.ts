import {z} from 'zod';

import type {Version} from '../core/index.js';
import {applyDelta, makeDelta} from './delta.js';
import type {StateBody} from './messages.js';
import type {FoldedState} from './types.js';

/** Compresses texts. */
export abstract class TextCodec {
  /**
   * Compresses a text.
   * @param text - the text
   */
  abstract deflate(text: string): Uint8Array<ArrayBuffer>;

  /**
   * Undoes `deflate`.
   * @param bytes - anything at all
   * @returns the text, or nothing if `deflate` did not produce the bytes
   */
  abstract inflate(bytes: Uint8Array): string | undefined;

  /**
   * SHA-256 of a text.
   * @param text - the text
   */
  abstract digest(text: string): string;
}

/** Bounds of the caches of texts and of encoded bodies. */
const MAX_CACHED_TEXTS = 16;
const MAX_CACHED_BODIES = 32;

const deltaParts = z.array(
  z.union([
    z.strictObject({
      from: z.int().nonnegative(),
      count: z.int().nonnegative(),
    }),
    z.strictObject({lines: z.array(z.string())}),
  ]),
);

function setBounded<K, V>(
  map: Map<K, V>,
  key: K,
  value: V,
  maxSize: number,
): void {
  map.set(key, value);
  if (map.size <= maxSize) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

/**
 * Encodes texts for peers: as a delta against the version of the peer, or
 * whole. A version has the same text everywhere, so it identifies a base.
 */
export class StateCodec {
  private readonly texts = new Map<Version, string>();
  private readonly bodies = new Map<string, StateBody>();

  /** @param codec - compresses the packed text */
  constructor(private readonly codec: TextCodec) {}

  /**
   * Caches a text as a base for later deltas.
   * @param state - the state of the text
   */
  cacheText({version, text}: FoldedState): void {
    if (version > 0) setBounded(this.texts, version, text, MAX_CACHED_TEXTS);
  }

  /**
   * Encodes the text of a state.
   * @param state - the state
   * @param base - version that the receiver has; none for the whole text
   */
  pack(state: FoldedState, base: Version | undefined): StateBody {
    const baseText = base === undefined ? undefined : this.texts.get(base);
    const key = `${baseText === undefined ? '' : base}-${state.version}`;
    const packed = this.bodies.get(key) ?? this.encode(state, base, baseText);
    setBounded(this.bodies, key, packed, MAX_CACHED_BODIES);
    return packed;
  }

  /**
   * Decodes a text.
   * @param body - the received body
   * @param own - the receiver's own state
   * @returns the text, or nothing if the whole text must be requested
   */
  unpack(body: StateBody, own: FoldedState): string | undefined {
    const inflated = this.codec.inflate(body.deflated);
    if (inflated === undefined || body.kind === 'whole') return inflated;
    if (body.base !== own.version) return undefined;
    const parts = parseParts(inflated);
    const text = parts && applyDelta(own.text, parts);
    if (text === undefined) return undefined;
    return this.codec.digest(text) === body.digest ? text : undefined;
  }

  private encode(
    {text, author, publicationId}: FoldedState,
    base: Version | undefined,
    baseText: string | undefined,
  ): StateBody {
    const origin = {author, publicationId};
    const whole: StateBody = {
      kind: 'whole',
      ...origin,
      deflated: this.codec.deflate(text),
    };
    if (base === undefined || baseText === undefined) return whole;
    const parts = JSON.stringify(makeDelta(baseText, text));
    const deflated = this.codec.deflate(parts);
    if (deflated.length >= whole.deflated.length) return whole;
    const digest = this.codec.digest(text);
    return {kind: 'delta', ...origin, base, digest, deflated};
  }
}

function parseParts(text: string) {
  try {
    return deltaParts.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
