import { execFile } from 'node:child_process';
import { mkdir, mkdtemp, rename, rm } from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import { URL, fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

const TARGET = path.join(ROOT, 'target', 'landings');

const run = promisify(execFile);

/** The last lines of what a command printed. */
const REPORTED_LINES = 5;

/** Runs a command. Its error says what it printed last. */
async function runIn(folder, command, ...args) {
  try {
    const { stdout } = await run(command, args, { cwd: folder, maxBuffer: Infinity });
    return stdout.trim();
  } catch (error) {
    const output = `${error.stdout ?? ''}\n${error.stderr ?? ''}`.trim().split('\n');
    const reason = output.slice(-REPORTED_LINES).join('\n') || error.message;
    throw new Error(`${[command, ...args].join(' ')}: ${reason}`);
  }
}

/** Builds a commit with the packages of its own lock file. A folder in its place is replaced once this one is whole. */
async function buildLanding(commit) {
  const name = await runIn(ROOT, 'git', 'rev-parse', '--short', '--verify', `${commit}^{commit}`);
  const staging = await mkdtemp(path.join(TARGET, '.landing-'));
  try {
    await runIn(ROOT, 'git', 'clone', '--quiet', '--shared', '--no-checkout', ROOT, staging);
    await runIn(staging, 'git', 'checkout', '--quiet', '--detach', name);
    await runIn(staging, 'npm', 'ci', '--silent', '--no-audit', '--no-fund');
    await runIn(staging, 'npm', 'run', '--silent', 'bundle');
    const folder = path.join(TARGET, name);
    await rm(folder, { recursive: true, force: true });
    await rename(staging, folder);
    return folder;
  } finally {
    await rm(staging, { recursive: true, force: true });
  }
}

/** Builds a commit, or reports why it can't be built. */
async function tryBuild(commit) {
  try {
    process.stdout.write(`${await buildLanding(commit)}\n`);
  } catch (error) {
    process.stderr.write(`can not build ${commit}: ${error.message}\n`);
    process.exitCode = 1;
  }
}

/** Builds commits one after the other, since each build uses all cores. */
async function main(commits) {
  if (commits.length === 0) {
    process.stderr.write('usage: node tools/buildLandings.mjs COMMIT...\n');
    process.exitCode = 2;
    return;
  }
  await mkdir(TARGET, { recursive: true });
  await commits.reduce((built, commit) => built.then(() => tryBuild(commit)), Promise.resolve());
}

await main(process.argv.slice(2));
