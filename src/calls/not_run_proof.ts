import type {RefusedMessage, RequestMessage} from './messages.js';

type Evidence = 'nothing_sent' | 'not_handed_over' | 'sidecar_refused';

/**
 * Proof that a call did not run. Only the factory methods below create one, and
 * each requires its evidence.
 */
export class NotRunProof {
  private constructor(readonly evidence: Evidence) {}

  /**
   * Creates the proof for a call that was never sent on any link.
   * @param _attempts - number of sent attempts; only 0 is evidence
   */
  static nothingSent(_attempts: 0): NotRunProof {
    return new NotRunProof('nothing_sent');
  }

  /**
   * Creates the proof for a call whose only possible attempt no link accepted.
   * @param _message - the message that was not sent
   */
  static sendFailed(_message: RequestMessage): NotRunProof {
    return new NotRunProof('not_handed_over');
  }

  /**
   * Creates the proof for a call whose only possible attempt was rejected.
   * @param _refusal - the sidecar's message
   */
  static rejectedBy(_refusal: RefusedMessage): NotRunProof {
    return new NotRunProof('sidecar_refused');
  }
}
