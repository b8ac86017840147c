import { PassThrough } from 'node:stream';
import { MemoryPlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import { Cli } from 'clipanion';
import { createCli } from '../index.js';
import type { ExitCode, OpenStore, OperatorContext } from '../index.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);

/** Creates a clock whose timers fire immediately, in order. */
function createImmediateClock(): Clock {
  const clock = new ManualClock();
  return {
    now: () => clock.now(),
    setTimer: (delay, callback) => {
      const timer = clock.setTimer(delay, callback);
      queueMicrotask(() => clock.runNext());
      return timer;
    },
  };
}

/** Returns the path of a file of the Liitto example. */
export function getExample(file: string): string {
  return new URL(`liitto/${file}`, EXAMPLES).pathname;
}

/** The output and the exit code of a command. */
export interface CliResult {
  exitCode: ExitCode;
  output: string;
  errors: string;
}

/** Runs one command in a fake environment. */
export type RunCli = (...words: string[]) => Promise<CliResult>;

/** The options that select the files of the Liitto example. */
export const EXAMPLE_FILES = [
  '--register',
  getExample('register.jsonc'),
  '--rules',
  getExample('rules.jsonc'),
];

/** Wraps a store for a command; the store stays open for the next command. */
export function createOpenStore(store: MemoryPlatformStore): OpenStore {
  return { store, dispose: () => Promise.resolve() };
}

/** Creates a command line that uses a store in memory; parts of its context can be replaced. */
export function createRunCli(contextOverrides: Partial<OperatorContext> = {}) {
  const clock = createImmediateClock();
  const platform = new MemoryPlatformStore({ clock: new ManualClock() });
  const run: RunCli = async (...words) => {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const exitCode = await createCli().run(words, {
      ...Cli.defaultContext,
      env: { APRICOTRILL_PLATFORM: 'http://127.0.0.1:1' },
      stdout,
      stderr,
      clock,
      openStore: () => createOpenStore(platform),
      fetchMembers: () => Promise.reject(new Error('fetchMembers was not expected to be called')),
      userName: 'bo',
      ...contextOverrides,
    });
    const read = (stream: PassThrough) => String(stream.read() ?? '');
    return { exitCode, output: read(stdout), errors: read(stderr) };
  };
  return { platform, run };
}
