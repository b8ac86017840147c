import { PassThrough } from 'node:stream';
import { MemoryPlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import { Cli } from 'clipanion';
import { createCli } from '../index.js';
import type { ExitCode, OpenStore, OperatorContext } from '../index.js';

const EXAMPLES = new URL('../../../../examples/', import.meta.url);

/** A clock on which every wait is over at once, in order. */
function createEagerClock(): Clock {
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

/** The path of a file of the Liitto example. */
export function getExample(file: string): string {
  return new URL(`liitto/${file}`, EXAMPLES).pathname;
}

/** What a command printed and how it ended. */
export interface Run {
  exitCode: ExitCode;
  output: string;
  errors: string;
}

/** Runs one command line with fakes around it. */
export type RunCli = (...words: string[]) => Promise<Run>;

/** The words that every command on the example's files starts with. */
export const FILES = [
  '--register',
  getExample('register.jsonc'),
  '--rules',
  getExample('rules.jsonc'),
];

/** A store as a command opens it; it stays open for the next command. */
export function createOpenStore(store: MemoryPlatformStore): OpenStore {
  return { store, dispose: () => Promise.resolve() };
}

/** A command line over a store in memory; the context can be changed in parts. */
export function createRunCli(change: Partial<OperatorContext> = {}) {
  const clock = createEagerClock();
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
      askMembers: () => Promise.reject(new Error('nobody was expected to ask')),
      userName: 'bo',
      ...change,
    });
    const read = (stream: PassThrough) => String(stream.read() ?? '');
    return { exitCode, output: read(stdout), errors: read(stderr) };
  };
  return { platform, run };
}
