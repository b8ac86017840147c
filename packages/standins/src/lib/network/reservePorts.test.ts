import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const STANDINS = fileURLToPath(new URL('../../../dist/index.js', import.meta.url));

const PROCESS_COUNT = 4;

/** More than the distance between the first ports of two processes started one after the other. */
const PORTS_PER_PROCESS = 300;

const RESERVE_PORTS_SCRIPT = `
  const { reservePorts } = await import(${JSON.stringify(STANDINS)});
  console.log(JSON.stringify(await reservePorts(${PORTS_PER_PROCESS})));
  process.stdin.resume();
  process.stdin.once('end', () => process.exit(0));
`;

/** Starts a process that reserves ports and runs until its input ends. */
function startChild() {
  return spawn(process.execPath, ['--input-type=module', '-e', RESERVE_PORTS_SCRIPT], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
}

async function readPorts(taker: ReturnType<typeof startChild>): Promise<number[]> {
  let text = '';
  while (!text.endsWith('\n')) {
    // eslint-disable-next-line no-await-in-loop
    const [bytes] = (await once(taker.stdout, 'data')) as [Buffer];
    text += bytes.toString();
  }
  return JSON.parse(text) as number[];
}

describe('reservePorts', () => {
  // Guards against two test processes that are given the same port before either listens.
  it('gives each port to one process only', async () => {
    const takers = Array.from({ length: PROCESS_COUNT }, startChild);
    const ports = (await Promise.all(takers.map(readPorts))).flat();
    takers.forEach((taker) => taker.stdin.end());
    await Promise.all(takers.map((taker) => once(taker, 'exit')));
    expect(ports).toHaveLength(PROCESS_COUNT * PORTS_PER_PROCESS);
    expect(new Set(ports).size).toBe(ports.length);
  });
});
