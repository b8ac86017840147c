import process from 'node:process';

/** Ends a test run with one plain line that scripts can read. */
export default class SummaryReporter {
  // eslint-disable-next-line class-methods-use-this
  onRunComplete(_contexts, results) {
    const { numPassedTests, numFailedTests, numRuntimeErrorTestSuites, numPendingTests } = results;
    const failed = numFailedTests + numRuntimeErrorTestSuites;
    const skipped = numPendingTests > 0 ? `, ${numPendingTests} skipped` : '';
    process.stdout.write(`${numPassedTests} passed, ${failed} failed${skipped}\n`);
  }
}
