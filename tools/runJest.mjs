// eslint-disable-next-line import-x/no-extraneous-dependencies -- a tool of development alone
import { runCLI } from 'jest';
import { readFile } from 'node:fs/promises';
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

/** One line each: the test's full name, command, what was seen and its cause, issue. */
const KNOWN_RED = new URL('../KNOWN-RED.txt', import.meta.url);

/** Suites that run a fleet of processes, or a crowd of callers, for which they need the whole machine. */
const FLEET_SUITES = [
  'platform/src/lib/fragileFleet',
  'platform/src/lib/overload',
  'platform/src/lib/crowds',
];

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

async function run(options) {
  const { results } = await runCLI({ $0: 'jest', ...options }, [ROOT]);
  return results;
}

/** Runs the suites that are named, or all: those with a fleet after the others, one at a time. */
async function runAll(patterns) {
  if (patterns.length > 0) {
    return [await run({ _: patterns })];
  }
  const most = await run({ _: [], testPathIgnorePatterns: ['/node_modules/', ...FLEET_SUITES] });
  return [most, await run({ _: FLEET_SUITES, runInBand: true })];
}

/** Runs all tests. Those that are known to fail are run as well, printed, and passed over. */
async function main() {
  const knownRed = await readKnownRed();
  const runs = await runAll(process.argv.slice(2));
  const statuses = new Map(runs.flatMap((results) => [...getStatuses(results)]));
  const unknown = [...statuses].filter(
    ([name, status]) => status === 'failed' && !knownRed.includes(name),
  );
  knownRed.forEach((name) => {
    process.stdout.write(`known red, ${statuses.get(name) ?? 'not run'}: ${name}\n`);
  });
  const isBroken = runs.some(
    ({ numRuntimeErrorTestSuites, numTotalTests }) =>
      numRuntimeErrorTestSuites > 0 || numTotalTests === 0,
  );
  process.exitCode = unknown.length > 0 || isBroken ? 1 : 0;
}

await main();
