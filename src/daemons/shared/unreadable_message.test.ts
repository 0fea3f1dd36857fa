import {describe, expect, it} from 'vitest';

import {actionAfterUnreadable, unreadableReason} from './unreadable_message.js';

const NEW = {
  isClosing: false,
  isReadingBody: false,
  isAnswered: false,
  openResponses: 0,
};

describe('an unreadable message', () => {
  it.each([
    [{}, 'respond'],
    [{openResponses: 2}, 'close_after_open'],
    [{isReadingBody: true, openResponses: 1}, 'respond_in_order'],
    [{isReadingBody: true, openResponses: 3}, 'respond_in_order'],
    [{isAnswered: true}, 'close_after_own'],
    [{isAnswered: true, openResponses: 1}, 'close_after_own'],
    [{isClosing: true}, 'ignore'],
    [{isClosing: true, openResponses: 1}, 'ignore'],
  ])('with %o leads to %s', (state, action) => {
    expect(actionAfterUnreadable({...NEW, ...state})).toBe(action);
  });

  it.each([
    ['HPE_HEADER_OVERFLOW', 'headers_too_large'],
    ['ERR_HTTP_REQUEST_TIMEOUT', 'request_timeout'],
    ['HPE_INVALID_METHOD', 'bad_request'],
    ['HPE_CLOSED_CONNECTION', 'bad_request'],
    ['ECONNRESET', undefined],
    [undefined, undefined],
  ])('is told from a failed connection (%s)', (code, reason) => {
    expect(unreadableReason(code)).toBe(reason);
  });
});
