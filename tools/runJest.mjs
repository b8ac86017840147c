// eslint-disable-next-line import-x/no-extraneous-dependencies -- a tool of development alone
import { runCLI } from 'jest';
import { readFile } from 'node:fs/promises';
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

/** One line each: the test's full name, command, what was seen and its cause, issue. */
const KNOWN_RED = new URL('../KNOWN-RED.txt', import.meta.url);

/** The names of tests that may fail; none where the file is missing. */
async function readKnownRed() {
  const text = await readFile(KNOWN_RED, 'utf8').catch((error) => {
    if (error.code === 'ENOENT') {
      return '';
    }
    throw error;
  });
  return text
    .split('\n')
    .map((line) => line.split(' | ')[0].trim())
    .filter((name) => name !== '' && !name.startsWith('#'));
}

/** What became of each test that was run, by its full name. */
function getStatuses({ testResults }) {
  const tests = testResults.flatMap((suite) => suite.testResults);
  return new Map(tests.map(({ fullName, status }) => [fullName, status]));
}

/** Runs all tests. Those that are known to fail are run as well, printed, and passed over. */
async function main() {
  const knownRed = await readKnownRed();
  const { results } = await runCLI({ _: process.argv.slice(2), $0: 'jest' }, [ROOT]);
  const statuses = getStatuses(results);
  const unknown = [...statuses].filter(
    ([name, status]) => status === 'failed' && !knownRed.includes(name),
  );
  knownRed.forEach((name) => {
    process.stdout.write(`known red, ${statuses.get(name) ?? 'not run'}: ${name}\n`);
  });
  const isRed = unknown.length > 0 || results.numRuntimeErrorTestSuites > 0;
  process.exitCode = isRed || results.numTotalTests === 0 ? 1 : 0;
}

await main();
