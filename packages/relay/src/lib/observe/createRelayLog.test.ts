import { ManualClock } from '@apricotrill/utils';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { createBoundedLog } from './createRelayLog.js';
import type { RelayEvent } from './RelayEvent.js';

const ROUTINE: RelayEvent = { event: 'first-byte', id: 'r', attempt: 1, replica: 'i', after: 5 };
const FAILURE: RelayEvent = { event: 'caller-left', id: 'r', after: 5 };

describe('createBoundedLog', () => {
  it('holds routine lines back first, and says how many lines it dropped', () => {
    const clock = new ManualClock();
    const lines: RelayEvent[] = [];
    const log = createBoundedLog(clock, (event) => lines.push(event));
    for (let index = 0; index < 2_000; index += 1) {
      log(ROUTINE);
    }
    log(FAILURE);
    expect(lines.filter(({ event }) => event === 'first-byte')).toHaveLength(500);
    expect(lines.filter(({ event }) => event === 'caller-left')).toHaveLength(1);
    clock.advance(1_000);
    log(ROUTINE);
    expect(lines.at(-2)).toEqual({ event: 'lines-dropped', lines: 1_500 });
  });

  it('bounds the lines of failures too', () => {
    const lines: RelayEvent[] = [];
    const log = createBoundedLog(new ManualClock(), (event) => lines.push(event));
    for (let index = 0; index < 5_000; index += 1) {
      log(FAILURE);
    }
    expect(lines.length).toBeLessThan(1_000);
  });
});

describe('createRelayLog', () => {
  // Symptom: a daemon stops serving. Sequence: what reads its standard output hangs; the pipe is
  // full. Cause: writing to a full pipe waits for its reader.
  it('goes on while nobody reads standard output', async () => {
    const built = fileURLToPath(
      new URL('../../../dist/lib/observe/createRelayLog.js', import.meta.url),
    );
    const script = `
      import { createRelayLog } from ${JSON.stringify(built)};
      let now = 0;
      const { log } = createRelayLog({ now: () => now, setTimer: () => ({ cancel() {} }) });
      // Far more than a pipe and the buffer hold.
      for (let index = 0; index < 100_000; index += 1) {
        now += 10;
        log({ event: 'caller-left', id: 'x'.repeat(100), after: index });
      }
      setTimeout(() => { process.stderr.write('served'); }, 0);
    `;
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    const [said] = (await once(child.stderr, 'data')) as [Buffer];
    child.kill('SIGKILL');
    expect(said.toString()).toBe('served');
  });
});
