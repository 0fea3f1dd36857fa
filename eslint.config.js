import gts from 'gts';

/** Folders whose code decides: time and chance reach them as arguments. */
const DECIDING = [
  'core',
  'configuration',
  'membership',
  'calls',
  'routing',
  'admission',
  'expert_groups',
  'direct',
  'evacuation',
  'configuration_review',
  'cold_start',
  'overload',
  'pacing',
].map(folder => `src/${folder}/**/*.ts`);

const CLOCKS_AND_CHANCE = [
  {object: 'Date', property: 'now', message: 'Take `now` as an argument.'},
  {object: 'Math', property: 'random', message: 'Take a Chance argument.'},
  {object: 'performance', property: 'now', message: 'Take `now`.'},
  {object: 'process', property: 'hrtime', message: 'Take `now`.'},
];

const TIMERS = ['setTimeout', 'setInterval', 'setImmediate', 'fetch'];

/** Packages and modules that do I/O, which deciding code never imports. */
const EDGES = [
  'node:http',
  'node:net',
  'node:fs',
  'node:fs/*',
  'node:timers',
  'node:timers/*',
  'ws',
  'undici',
  'nact',
  'consola',
  'prom-client',
  '**/clients/**',
  '**/platform/**',
  '**/links/**',
  '**/daemons/**',
  '**/cli/**',
  '**/observability/**',
];

export default [
  {ignores: ['dist/', 'coverage/', 'target/', 'journal/']},
  ...gts,
  {
    files: ['eslint.config.js', 'scripts/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly', process: 'readonly'},
    },
    rules: {'n/no-unpublished-import': 'off', 'n/no-process-exit': 'off'},
  },
  {
    files: ['**/*.ts'],
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'standins/**/*.ts', 'bench/**/*.ts'],
    rules: {
      'max-lines': ['error', {max: 400}],
      'max-lines-per-function': ['error', {max: 90, skipComments: true}],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {'max-lines': 'off', 'max-lines-per-function': 'off'},
  },
  {
    files: DECIDING,
    ignores: ['**/*.test.ts'],
    rules: {
      'no-restricted-properties': ['error', ...CLOCKS_AND_CHANCE],
      'no-restricted-globals': ['error', ...TIMERS],
      'no-restricted-imports': ['error', {patterns: EDGES}],
      'no-restricted-syntax': [
        'error',
        {
          selector: "NewExpression[callee.name='Date'][arguments.length=0]",
          message: 'Take `now` as an argument.',
        },
      ],
    },
  },
];
