import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const BINARY = fileURLToPath(new URL('../../dist/bin/apricotrill-demo.js', import.meta.url));

describe('apricotrill-demo', () => {
  // Symptom: the summary is printed and the command does not end. Sequence: the daemons are stopped
  // together; links between them are closed by both ends in the same moment. Cause: each end keeps
  // its half open until the other is closed, and the process waited for that.
  it('ends by itself once the summary is printed', async () => {
    const child = spawn(process.execPath, [BINARY, '--seconds', '1'], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let shown = '';
    child.stdout.on('data', (bytes: Buffer) => {
      shown += bytes.toString();
    });
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(shown).toContain('answers were not whole');
    expect(code).toBe(0);
  });
});
