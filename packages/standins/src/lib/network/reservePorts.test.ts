import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const STANDINS = fileURLToPath(new URL('../../../dist/index.js', import.meta.url));

const PROCESSES = 4;

/** More than lies between the first ports of two processes that start one after the other. */
const PORTS_EACH = 300;

const TAKE_PORTS = `
  const { reservePorts } = await import(${JSON.stringify(STANDINS)});
  console.log(JSON.stringify(await reservePorts(${PORTS_EACH})));
  process.stdin.resume();
  process.stdin.once('end', () => process.exit(0));
`;

/** Starts a process that takes ports and lives until its input ends. */
function startTaker() {
  return spawn(process.execPath, ['--input-type=module', '-e', TAKE_PORTS], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
}

async function readPorts(taker: ReturnType<typeof startTaker>): Promise<number[]> {
  let text = '';
  while (!text.endsWith('\n')) {
    // eslint-disable-next-line no-await-in-loop
    const [bytes] = (await once(taker.stdout, 'data')) as [Buffer];
    text += bytes.toString();
  }
  return JSON.parse(text) as number[];
}

describe('reservePorts', () => {
  // Guards against two test processes that are handed the same port before either listens.
  it('gives each port to one process only', async () => {
    const takers = Array.from({ length: PROCESSES }, startTaker);
    const ports = (await Promise.all(takers.map(readPorts))).flat();
    takers.forEach((taker) => taker.stdin.end());
    await Promise.all(takers.map((taker) => once(taker, 'exit')));
    expect(ports).toHaveLength(PROCESSES * PORTS_EACH);
    expect(new Set(ports).size).toBe(ports.length);
  });
});
