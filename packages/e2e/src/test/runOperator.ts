import { Binary, Subprocess } from './Subprocess.js';

/** What a command of the operators' command line came to. */
export interface OperatorResult {
  code: number | string;
  output: string;
  errors: string[];
}

/** Runs `apricotrill` with these arguments to its end. */
export async function runOperator(args: string[]): Promise<OperatorResult> {
  const process = new Subprocess(Binary.Operator, args);
  let output = '';
  process.child.stdout!.setEncoding('utf8').on('data', (text: string) => {
    output += text;
  });
  const ended = new Promise((resolve) => {
    process.child.once('close', resolve);
  });
  const code = await process.exited;
  await ended;
  return { code, output, errors: process.log.lines };
}
