import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const BINARY = fileURLToPath(new URL('../../dist/bin/apricotrill-demo.js', import.meta.url));

describe('apricotrill-demo', () => {
  // Guards against a command that does not exit after the summary. Daemons that are stopped
  // together close the connections between them from both ends at once. Each end then waits for the
  // other, and the process used to wait for both.
  it('exits once the summary is printed', async () => {
    const child = spawn(process.execPath, [BINARY, '--seconds', '1'], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let shown = '';
    child.stdout.on('data', (bytes: Buffer) => {
      shown += bytes.toString();
    });
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(shown).toContain('answers were incomplete');
    expect(code).toBe(0);
  });
});
