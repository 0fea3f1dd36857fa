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
  // Parsing puts the fields in the same order on both sides.
  const fields = identitySchema.parse(identity);
  return mac.update(JSON.stringify(fields)).digest();
}

/**
 * One side of the mutual proof that both ends have the link key. Each method
 * takes a frame and throws a `link_refused` or `bad_frame` fault.
 */
export class Handshake {
  private readonly ownNonce = new Uint8Array(randomBytes(NONCE_BYTES));
  private peerNonce = new Uint8Array();

  /**
   * @param key - the estate's link key
   * @param self - how this process introduces itself
   */
  constructor(
    private readonly key: string,
    private readonly self: Identity,
  ) {}

  /** First frame of the accepting side. */
  challenge(): Uint8Array {
    return encode({type: 'challenge', nonce: this.ownNonce});
  }

  /**
   * The dialling side answers a challenge.
   * @param frame - the challenge
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
   * The accepting side checks the answer.
   * @param frame - the answer
   * @returns who dialled, and the frame that opens the link
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
   * The dialling side checks that the other has the key too.
   * @param frame - the frame that opens the link
   * @returns who accepted
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
