import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

import {Fault} from '../errors/index.js';
import {identity as identitySchema} from '../membership/index.js';
import type {Identity} from '../membership/index.js';
import {decode, encode} from './codec.js';
import {challenge, hello, welcome} from './messages.js';

const NONCE_BYTES = 16;

type Side = 'dial' | 'accept';

function sign(
  key: string,
  side: Side,
  nonces: readonly Uint8Array[],
  identity: Identity,
): Uint8Array {
  const mac = createHmac('sha256', key).update(side);
  for (const nonce of nonces) mac.update(nonce);
  // Parsing gives the fields the same order on both sides.
  const fields = identitySchema.parse(identity);
  return mac.update(JSON.stringify(fields)).digest();
}

/**
 * One side of the mutual HMAC challenge-response that proves possession of the
 * link key. Methods that accept a frame throw a `link_refused` or `bad_frame`
 * fault if it is invalid.
 */
export class Handshake {
  private readonly ownNonce = new Uint8Array(randomBytes(NONCE_BYTES));
  private peerNonce = new Uint8Array();

  /**
   * @param key - link key of the estate
   * @param self - identity of this process
   */
  constructor(
    private readonly key: string,
    private readonly self: Identity,
  ) {}

  /** Encodes the first frame, sent by the accepting side. */
  challenge(): Uint8Array {
    return encode({type: 'challenge', nonce: this.ownNonce});
  }

  /**
   * Answers a challenge on the dialling side.
   * @param frame - the challenge
   * @returns the `hello` frame
   */
  answerChallenge(frame: Uint8Array): Uint8Array {
    this.peerNonce = decode(challenge, frame).nonce as Uint8Array<ArrayBuffer>;
    const mac = sign(
      this.key,
      'dial',
      [this.peerNonce, this.ownNonce],
      this.self,
    );
    return encode({
      type: 'hello',
      identity: this.self,
      nonce: this.ownNonce,
      mac,
    });
  }

  /**
   * Verifies the dialling side's answer on the accepting side.
   * @param frame - the `hello` frame
   * @returns identity of the dialling side, and the frame that opens the link
   */
  verifyHello(frame: Uint8Array): {peer: Identity; reply: Uint8Array} {
    const message = decode(hello, frame);
    const nonces = [this.ownNonce, message.nonce];
    this.checkMac(
      message.mac,
      sign(this.key, 'dial', nonces, message.identity),
    );
    const mac = sign(this.key, 'accept', nonces, this.self);
    const reply = encode({type: 'welcome', identity: this.self, mac});
    return {peer: message.identity, reply};
  }

  /**
   * Verifies on the dialling side that the accepting side has the key.
   * @param frame - the `welcome` frame, which opens the link
   * @returns identity of the accepting side
   */
  verifyWelcome(frame: Uint8Array): Identity {
    const message = decode(welcome, frame);
    const nonces = [this.peerNonce, this.ownNonce];
    const expected = sign(this.key, 'accept', nonces, message.identity);
    this.checkMac(message.mac, expected);
    return message.identity;
  }

  private checkMac(mac: Uint8Array, expected: Uint8Array): void {
    if (timingSafeEqual(mac, expected)) return;
    throw new Fault('link_refused');
  }
}
