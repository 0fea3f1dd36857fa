import {defineConfig} from 'vitest/config';

/** Tests that need the machine for themselves. */
const ALONE = 'test/untrusted_clients/**/*.test.ts';

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', ['json', {outputFile: 'dist/test_results.json'}]],
    projects: [
      {
        extends: true,
        test: {
          name: 'beside_others',
          include: [
            'src/**/*.test.ts',
            'platform/**/*.test.ts',
            'test/**/*.test.ts',
          ],
          exclude: [ALONE],
          maxWorkers: 4,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'alone',
          include: [ALONE],
          maxWorkers: 1,
          fileParallelism: false,
          // Groups run one after another.
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
