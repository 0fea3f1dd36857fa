import type {RefusedMessage, RequestMessage} from './messages.js';

type Evidence = 'nothing_sent' | 'not_handed_over' | 'sidecar_refused';

/**
 * Why it is certain that a call did not run. Only the makers below make one,
 * and each needs its evidence.
 */
export class NotRunProof {
  private constructor(readonly evidence: Evidence) {}

  /**
   * The call was never given to any link.
   * @param _attempts - attempts that were sent; anything but 0 is no evidence
   */
  static nothingSent(_attempts: 0): NotRunProof {
    return new NotRunProof('nothing_sent');
  }

  /**
   * No link took the only attempt that may have run.
   * @param _message - the message that is still here
   */
  static sendFailed(_message: RequestMessage): NotRunProof {
    return new NotRunProof('not_handed_over');
  }

  /**
   * The sidecar refused the only attempt that may have reached it.
   * @param _refusal - its message
   */
  static rejectedBy(_refusal: RefusedMessage): NotRunProof {
    return new NotRunProof('sidecar_refused');
  }
}
