import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

interface Listening {
  listening: { host: string; port: number };
}

async function start(name: string) {
  const path = fileURLToPath(
    new URL(`../../dist/bin/apricotrill-standin-${name}.js`, import.meta.url),
  );
  const child = spawn(process.execPath, [path, '--port', '0'], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  const { host, port } = (JSON.parse(line) as Listening).listening;
  return { child, url: `http://${host}:${port}`, exited: once(child, 'exit') };
}

describe('stand-in binaries', () => {
  it.each([
    ['platform', '/counters'],
    ['engine', '/runs'],
    ['service', '/runs'],
  ])('%s listens, serves requests and exits on SIGTERM', async (name, path) => {
    const { child, url, exited } = await start(name);
    expect((await fetch(`${url}${path}`)).status).toBe(200);
    child.kill('SIGTERM');
    expect(await exited).toEqual([0, null]);
  });

  it.each(['engine', 'service'])('%s exits immediately on a crash fault', async (name) => {
    const { url, exited } = await start(name);
    const body = JSON.stringify({ kind: 'crash' });
    await fetch(`${url}/faults`, { method: 'POST', body }).catch(() => undefined);
    expect(await exited).toEqual([70, null]);
  });
});
