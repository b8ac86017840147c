import diagnostics from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import { median } from 'simple-statistics';
import { Agent, request } from 'undici';
import { Binary, StartedProcess } from '../../bench/StartedProcess.js';
import { measureProcessorTime } from '../../measure/measureCost.js';

const CONNECTIONS = 10;

const REPEATS = 5;

/** What asking a replica for its load so many times took. */
export interface QuestionReading {
  questions: number;
  /** Milliseconds of processor time of the asking process. */
  time: number;
  /** Bytes of HTTP on the connections, both ways. */
  bytes: number;
}

function sumBytes(sockets: Socket[]): number {
  return sockets.reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
}

async function ask(origin: string, agent: Agent, questions: number): Promise<void> {
  const batches = Math.ceil(questions / CONNECTIONS);
  for (let batch = 0; batch < batches; batch += 1) {
    // eslint-disable-next-line no-await-in-loop
    await Promise.all(
      Array.from({ length: CONNECTIONS }, async () => {
        const { body } = await request(`${origin}/load`, { dispatcher: agent });
        return body.json();
      }),
    );
  }
}

/**
 * Asks an engine stand-in for its load as the daemon does.
 *
 * @param sizes - how often; each is measured by itself, after a round that warms up
 * @internal
 */
export async function readQuestions(sizes: readonly number[]): Promise<QuestionReading[]> {
  const engine = await StartedProcess.start(Binary.Engine, []);
  const origin = `http://127.0.0.1:${engine.ports.port}`;
  const sockets: Socket[] = [];
  const note = (message: unknown) => sockets.push((message as { socket: Socket }).socket);
  diagnostics.subscribe('undici:client:connected', note);
  const agent = new Agent({ connections: CONNECTIONS });
  const readings: QuestionReading[] = [];
  await ask(origin, agent, Math.max(...sizes));
  for (let index = 0; index < sizes.length; index += 1) {
    const questions = sizes[index]!;
    const before = sumBytes(sockets);
    const times: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat += 1) {
      // eslint-disable-next-line no-await-in-loop
      times.push(await measureProcessorTime(() => ask(origin, agent, questions)));
    }
    const bytes = (sumBytes(sockets) - before) / REPEATS;
    readings.push({ questions, time: median(times), bytes });
  }
  diagnostics.unsubscribe('undici:client:connected', note);
  await agent.destroy();
  await engine.stop();
  return readings;
}
