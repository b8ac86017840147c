/** Tests run from the TypeScript sources; process-level tests start the built binaries. */
export default {
  testEnvironment: 'node',
  // A busy machine must not change the verdict: tests wait on events, this only ends a hung one.
  testTimeout: 120000,
  reporters: ['default', '<rootDir>/tools/summaryReporter.mjs'],
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  testMatch: ['**/src/**/*.test.ts'],
  extensionsToTreatAsEsm: ['.ts'],
  moduleNameMapper: {
    '^@apricotrill/([a-z0-9-]+)$': '<rootDir>/packages/$1/src/index.ts',
    '^(\\.{1,2}/.*)\\.js$': '$1',
  },
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'es6' } },
    ],
  },
};
