import {describe, expect, it, beforeEach, afterEach} from 'vitest';

import {PlatformServer} from '../../../standins/platform_server.js';
import {publicationOf, tinyText} from '../../../test/support/texts.js';
import {CONFIGURATION_STREAM} from '../../configuration/index.js';
import {HttpLogClient} from '../../clients/index.js';
import {lineDiff} from './line_diff.js';
import {Publisher} from './publisher.js';

const TEXT = tinyText('a');

describe('Publisher', () => {
  let platform: PlatformServer;
  let url: string;
  const publisher = () =>
    new Publisher(new HttpLogClient(url, CONFIGURATION_STREAM));
  const append = (data: unknown) => platform.append(CONFIGURATION_STREAM, data);

  beforeEach(async () => {
    platform = new PlatformServer();
    url = await platform.listen();
  });
  afterEach(() => platform.close());

  it.each([0, 1])(
    'reads the verdict from the log after %i lost responses',
    async lost => {
      platform.faults.loseAnswers = lost;
      const verdict = await publisher().publish(publicationOf(0, TEXT, 'p1'));
      expect(verdict._unsafeUnwrap()).toEqual({accepted: true, version: 1});
      const again = publisher();
      await again.catchUp();
      expect(again.verdictOf(publicationOf(0, TEXT, 'p1').id)).toEqual({
        accepted: true,
        version: 1,
      });
    },
  );

  it.each([2, 5])(
    'accepts one of %i concurrent publications',
    async operators => {
      const verdicts = await Promise.all(
        Array.from({length: operators}, (_, i) =>
          publisher().publish(publicationOf(0, tinyText(`z${i}`), `p${i}`)),
        ),
      );
      const accepted = verdicts.filter(v => v._unsafeUnwrap().accepted);
      expect(accepted.length).toBe(1);
      for (const verdict of verdicts) {
        expect(verdict._unsafeUnwrap().version).toBe(1);
      }
    },
  );

  it('restores expired records from a checkpoint', async () => {
    const state = {version: 6, text: TEXT, foldedTo: 2, author: 'x'};
    for (let i = 0; i < 3; i++) append({});
    append({kind: 'checkpoint', id: 'c', ...state});
    platform.truncate(CONFIGURATION_STREAM, 3);
    const verdict = await publisher().publish(
      publicationOf(6, tinyText('b'), 'p7'),
    );
    expect(verdict._unsafeUnwrap()).toEqual({accepted: true, version: 7});
  });

  it('reports a log gap, then accepts the first recovery', async () => {
    append(publicationOf(0, TEXT, 'p1'));
    platform.truncate(CONFIGURATION_STREAM, 1);
    const first = publisher();
    const caughtUp = await first.catchUp();
    expect(caughtUp._unsafeUnwrapErr().reason).toBe('log_gap');
    const second = publisher();
    await second.catchUp();
    const accepted = await first.recover(publicationOf(4, TEXT, 'r1'));
    expect(accepted._unsafeUnwrap()).toEqual({accepted: true, version: 5});
    const rejected = await second.recover(
      publicationOf(4, tinyText('b'), 'r2'),
    );
    expect(rejected._unsafeUnwrap()).toMatchObject({
      accepted: false,
      version: 5,
    });
  });

  it('reports that the log is unavailable', async () => {
    platform.faults.logDown = true;
    const caughtUp = await publisher().catchUp();
    expect(caughtUp._unsafeUnwrapErr().reason).toBe('log_unavailable');
  });
});

describe('lineDiff', () => {
  it.each([
    ['', 'a\nb', ['+ a', '+ b']],
    ['a\nb\nc', 'a\nb\nc', []],
    ['a\nb\nc', 'a\nx\nc', ['- b', '+ x']],
    ['a\nb\nc', 'a\nc', ['- b']],
    ['a\na', 'a\na\na', ['+ a']],
    ['a\nb\nc\nd', 'b\nc\ne\nd', ['- a', '+ e']],
  ])('%j to %j', (before, after, lines) => {
    expect(lineDiff(before, after)).toEqual(lines);
  });
});
