import type { ListenAddress } from './http/StandinServer.js';

/** Something that listens until it is disposed of. */
export interface Standin {
  listen(): Promise<ListenAddress>;
  dispose(): Promise<void>;
}

/** Listens, says where in one JSON line, and ends on SIGINT or SIGTERM. */
export async function runStandin(standin: Standin, output: NodeJS.WritableStream): Promise<void> {
  const listening = await standin.listen();
  const ended = new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
  output.write(`${JSON.stringify({ listening })}\n`);
  await ended;
  await standin.dispose();
}
