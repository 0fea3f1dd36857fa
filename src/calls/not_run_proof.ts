import type {RefusedMessage} from './messages.js';

/** Why it is certain that a call did not run. Only the makers below make one. */
export class NotRunProof {
  private constructor(readonly evidence: 'nothing_sent' | 'sidecar_refused') {}

  /** No byte of any attempt of the call left this process. */
  static nothingSent(): NotRunProof {
    return new NotRunProof('nothing_sent');
  }

  /**
   * The sidecar refused the only attempt that may have reached it.
   * @param _refusal - its message
   */
  static refusedBy(_refusal: RefusedMessage): NotRunProof {
    return new NotRunProof('sidecar_refused');
  }
}
