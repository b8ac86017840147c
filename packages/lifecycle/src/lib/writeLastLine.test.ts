import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { constants } from 'node:fs';
import { mkdtemp, open, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

const MODULE = fileURLToPath(new URL('../../dist/lib/writeLastLine.js', import.meta.url));

const SCRIPT = `
  import { writeLastLine } from ${JSON.stringify(MODULE)};
  process.on('exit', () => writeLastLine('the last line'));
`;

const FILL = "process.stdout.write('x'.repeat(1_000_000)); process.exit();";

const getArguments = (script: string) => ['--input-type=module', '-e', SCRIPT + script];

describe('writeLastLine', () => {
  let folder: string;

  let reader: FileHandle;

  let writer: FileHandle;

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'line-'));
    const file = path.join(folder, 'pipe');
    await promisify(execFile)('mkfifo', [file]);
    // Opens a pipe without a process at its other end.
    // eslint-disable-next-line no-bitwise
    reader = await open(file, constants.O_RDONLY | constants.O_NONBLOCK);
    writer = await open(file, 'w');
  });

  afterEach(async () => {
    await writer.close();
    await rm(folder, { recursive: true });
  });

  /** Runs a script whose standard output is the pipe, and returns what it writes to standard error. */
  async function run(script: string): Promise<string> {
    const child = spawn(process.execPath, getArguments(script), {
      stdio: ['ignore', writer.fd, 'pipe'],
    });
    let text = '';
    child.stderr!.on('data', (bytes) => {
      text += String(bytes);
    });
    await once(child, 'close');
    return text;
  }

  it('writes to standard output as the process exits', async () => {
    expect(await run('process.exit()')).toBe('');
    expect((await reader.read(Buffer.alloc(100))).bytesRead).toBe('the last line\n'.length);
    await reader.close();
  });

  // Guards against a process that never exits since the reader of its output hangs.
  it('writes to standard error if standard output is full', async () => {
    expect(await run(FILL)).toBe('the last line\n');
    await reader.close();
  });

  it('writes to standard error if the reader of standard output is gone', async () => {
    await reader.close();
    expect(await run('process.exit()')).toBe('the last line\n');
  });
});
