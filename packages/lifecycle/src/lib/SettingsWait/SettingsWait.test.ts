import { ManualClock } from '@apricotrill/utils';
import type { LifecycleEvent } from '../LifecycleEvent.js';
import { SettingsWait, settingsOptions } from './SettingsWait.js';
import { UnavailableSettingsError } from './UnavailableSettingsError.js';

/** Lets pending promises settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    // eslint-disable-next-line no-await-in-loop
    await Promise.resolve();
  }
}

async function advance(clock: ManualClock, duration: number): Promise<void> {
  for (let step = 0; step < duration; step += settingsOptions.firstDelay) {
    clock.advance(settingsOptions.firstDelay);
    // eslint-disable-next-line no-await-in-loop
    await settle();
  }
}

describe('SettingsWait', () => {
  let clock: ManualClock;

  let lines: LifecycleEvent[];

  let wait: SettingsWait;

  let attempts: number;

  let isWhole: boolean;

  const attempt = async () => {
    attempts += 1;
    if (!isWhole) {
      throw new UnavailableSettingsError('boot.json: missing');
    }
    return 'settings';
  };

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    attempts = 0;
    isWhole = false;
    wait = new SettingsWait({ clock, log: (line) => lines.push(line) });
  });

  it('reads settings until they are whole, and logs that it waits at intervals', async () => {
    const read = wait.read(attempt);
    await settle();
    await advance(clock, 2.5 * settingsOptions.logInterval);
    isWhole = true;
    await advance(clock, 2 * settingsOptions.maxDelay);
    expect(await read).toBe('settings');
    expect(lines.map(({ event }) => event)).toEqual([
      'settings-unavailable',
      'settings-unavailable',
      'settings-unavailable',
      'settings-read',
    ]);
    expect(lines[0]).toMatchObject({ error: 'boot.json: missing', after: 0 });
  });

  it('logs nothing if the first attempt succeeds', async () => {
    isWhole = true;
    expect(await wait.read(attempt)).toBe('settings');
    expect(lines).toEqual([]);
  });

  it('reads again at once if it is told to', async () => {
    const read = wait.read(attempt);
    await advance(clock, 4 * settingsOptions.maxDelay);
    isWhole = true;
    const attemptsBefore = attempts;
    wait.retry();
    expect(await read).toBe('settings');
    expect(attempts).toBe(attemptsBefore + 1);
  });

  it('ends at once with any other error', async () => {
    await expect(wait.read(() => Promise.reject(new Error('wrong')))).rejects.toThrow('wrong');
    expect(lines).toEqual([]);
  });

  // Guards against a process that can't be stopped while it waits.
  it('ends without settings when it is stopped, also during an attempt', async () => {
    const read = wait.read(attempt);
    await settle();
    wait.stop();
    expect(await read).toBeUndefined();
    isWhole = true;
    const other = new SettingsWait({ clock, log: () => undefined });
    const pending = other.read(attempt);
    other.stop();
    expect(await pending).toBeUndefined();
  });
});
