import type { ListenAddress } from './http/StandinServer.js';

/** A server that listens until it is disposed. */
export interface Standin {
  listen(): Promise<ListenAddress>;
  dispose(): Promise<void>;
}

/** Runs a stand-in until SIGINT or SIGTERM; prints its address as one JSON line. */
export async function runStandin(standin: Standin, output: NodeJS.WritableStream): Promise<void> {
  const listening = await standin.listen();
  const terminated = new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  output.write(`${JSON.stringify({ listening })}\n`);
  await terminated;
  await standin.dispose();
}
