import { writeSync } from 'node:fs';
import type { Milliseconds } from '@apricotrill/utils';

/** How long to wait for a reader that has not yet made room for the line. */
const MAX_WAIT: Milliseconds = 200;

const RETRY_DELAY: Milliseconds = 10;

const STANDARD_OUTPUT = 1;

const STANDARD_ERROR = 2;

function sleep(duration: Milliseconds): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, duration);
}

/**
 * Writes bytes to a file descriptor at once.
 *
 * @returns whether all bytes were written
 */
function write(descriptor: number, bytes: Buffer): boolean {
  let written = 0;
  let waited = 0;
  while (written < bytes.length) {
    try {
      written += writeSync(descriptor, bytes, written);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN' || waited >= MAX_WAIT) {
        return false;
      }
      sleep(RETRY_DELAY);
      waited += RETRY_DELAY;
    }
  }
  return true;
}

/**
 * Writes a line to standard output before it returns, or else to standard error. For the last line of a process:
 * what it writes asynchronously is lost as it exits. Waits at most 400 ms for readers, and reports no errors.
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
