import { ManualClock } from '@apricotrill/utils';
import type { LifecycleEvent } from '../LifecycleEvent.js';
import { PortOpener, portOptions } from './PortOpener.js';

class CodedError extends Error {
  constructor(readonly code: string) {
    super(code);
  }
}

/** Lets pending promises settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    // eslint-disable-next-line no-await-in-loop
    await Promise.resolve();
  }
}

async function advance(clock: ManualClock, duration: number): Promise<void> {
  for (let step = 0; step < duration; step += portOptions.firstDelay) {
    clock.advance(portOptions.firstDelay);
    // eslint-disable-next-line no-await-in-loop
    await settle();
  }
}

describe('PortOpener', () => {
  let clock: ManualClock;

  let lines: LifecycleEvent[];

  let opener: PortOpener;

  let isReleasing: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    isReleasing = false;
    opener = new PortOpener({
      clock,
      log: (line) => lines.push(line),
      findHolder: async () => ({ description: 'edge-1, pid 7', isReleasing }),
    });
  });

  it('tries again until the port is available, and logs who holds it', async () => {
    let isTaken = true;
    const opened = opener.open('callers', async () => {
      if (isTaken) {
        throw new CodedError('EADDRINUSE');
      }
      return 8_740;
    });
    await advance(clock, 2 * portOptions.logInterval);
    isTaken = false;
    await advance(clock, 2 * portOptions.maxDelay);
    expect(await opened).toBe(8_740);
    expect(lines[0]).toMatchObject({
      event: 'port-unavailable',
      port: 'callers',
      holder: 'edge-1, pid 7',
    });
    expect(lines.filter(({ event }) => event === 'port-unavailable').length).toBeLessThanOrEqual(3);
    expect(lines.at(-1)).toMatchObject({ event: 'port-opened', port: 'callers' });
  });

  it('logs nothing if the first attempt succeeds', async () => {
    expect(await opener.open('callers', async () => 1)).toBe(1);
    expect(lines).toEqual([]);
  });

  it.each(['ENOTFOUND', 'ERR_SOCKET_BAD_PORT'])('throws %s, which can not pass', async (code) => {
    const opened = opener.open('callers', async () => {
      throw new CodedError(code);
    });
    await expect(opened).rejects.toThrow(code);
    expect(lines).toEqual([]);
  });

  // Guards against a start that ends since a security policy is loaded after it.
  it('tries again after an error of the system, whichever it is', async () => {
    const errors = ['EACCES', 'EPERM', 'EINVAL', 'EAFNOSUPPORT', 'ENETUNREACH'];
    const opened = opener.open('callers', async () => {
      const code = errors.shift();
      if (code !== undefined) {
        throw new CodedError(code);
      }
      return 8_740;
    });
    await advance(clock, 8 * portOptions.maxDelay);
    expect(await opened).toBe(8_740);
    expect(lines[0]).toMatchObject({ event: 'port-unavailable', error: 'Error: EACCES' });
  });

  // Guards against a process that can serve, and ends for a port that it can do without.
  it('never throws for an optional port, and tries seldom after an error that is unlikely to pass', async () => {
    let attempts = 0;
    const opened = opener.openOptional('metrics', async () => {
      attempts += 1;
      if (attempts < 3) {
        throw new CodedError('ENOTFOUND');
      }
      return 7_200;
    });
    await advance(clock, 1.5 * portOptions.finalErrorDelay);
    expect(attempts).toBe(2);
    expect(opener.ports.get('metrics')).toBe(false);
    await advance(clock, portOptions.finalErrorDelay);
    expect(await opened).toBe(7_200);
    expect(opener.ports.get('metrics')).toBe(true);
    expect(lines.at(-1)).toMatchObject({ event: 'port-opened', port: 'metrics' });
  });

  // Guards against a process that can't be stopped while it waits for a port.
  it('ends its waits when it is stopped', async () => {
    const opened = opener.open('callers', async () => {
      throw new CodedError('EADDRNOTAVAIL');
    });
    await settle();
    opener.stop();
    expect(await opened).toBeUndefined();
  });

  // Guards against connections that are refused between two processes at one place.
  it('tries often while the holder is about to release the port', async () => {
    isReleasing = true;
    let attempts = 0;
    opener
      .open('callers', async () => {
        attempts += 1;
        throw new CodedError('EADDRINUSE');
      })
      .catch(() => undefined);
    await advance(clock, 1_000);
    expect(attempts).toBeGreaterThan(500 / portOptions.firstDelay);
    opener.stop();
  });

  // Guards against attempts that wait for the holder of a port, which may never respond.
  it('goes on while the holder does not respond', async () => {
    let attempts = 0;
    opener = new PortOpener({
      clock,
      log: () => undefined,
      findHolder: () => new Promise(() => {}),
    });
    opener
      .open('callers', async () => {
        attempts += 1;
        throw new CodedError('EADDRINUSE');
      })
      .catch(() => undefined);
    await advance(clock, portOptions.logInterval);
    expect(attempts).toBeGreaterThan(10);
    opener.stop();
  });
});
