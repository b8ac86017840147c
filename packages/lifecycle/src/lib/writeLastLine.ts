import { writeSync } from 'node:fs';

const STANDARD_OUTPUT = 1;

const STANDARD_ERROR = 2;

/**
 * Writes bytes to a file descriptor at once.
 *
 * @returns whether all bytes were written
 */
function write(descriptor: number, bytes: Buffer): boolean {
  let written = 0;
  try {
    while (written < bytes.length) {
      written += writeSync(descriptor, bytes, written);
    }
    return true;
  } catch {
    // There is no reader, or it has not made room.
    return false;
  }
}

/**
 * Writes a line to standard output before it returns, or else to standard error. For the last line of a process:
 * what it writes asynchronously is lost as it exits. Waits for no reader, and reports no errors.
 *
 * @example
 * ```ts
 * process.on('exit', (code) => writeLastLine(JSON.stringify({ event: 'ended', code })));
 * ```
 * @public
 */
export function writeLastLine(text: string): void {
  // As these streams are created, pipes are set to return an error instead of waiting for a reader.
  const { stdout, stderr } = process;
  const bytes = Buffer.from(`${text}\n`);
  if (!write(stdout.fd ?? STANDARD_OUTPUT, bytes)) {
    write(stderr.fd ?? STANDARD_ERROR, bytes);
  }
}
