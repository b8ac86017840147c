import { Binary, Subprocess } from './Subprocess.js';

/** The result of a command of the operators' command line. */
export interface OperatorResult {
  code: number | string;
  output: string;
  errors: string[];
}

/** Runs `apricotrill` with these arguments and waits until it exits. */
export async function runOperator(args: string[]): Promise<OperatorResult> {
  const process = new Subprocess(Binary.Operator, args);
  let output = '';
  process.child.stdout!.setEncoding('utf8').on('data', (text: string) => {
    output += text;
  });
  const closed = new Promise((resolve) => {
    process.child.once('close', resolve);
  });
  const code = await process.exited;
  await closed;
  return { code, output, errors: process.log.lines };
}
