import type {LinkMessage} from '../../links/index.js';
import type {AttemptResult} from '../../routing/index.js';

const FIRST_SERVER_ERROR = 500;

/**
 * What a message tells of the health of the replica that sent it.
 * @param message - the message
 */
export function attemptResult(message: LinkMessage): AttemptResult | undefined {
  switch (message.type) {
    case 'head':
      return message.status < FIRST_SERVER_ERROR ? 'answered' : 'failed';
    case 'failed':
      return 'failed';
    case 'refused':
      return message.reason === 'engine_unreachable' ? 'failed' : 'refused';
    default:
      return undefined;
  }
}
