import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { UnreadableFileError } from '../readFiles.js';
import { parseLogLine } from './RequestTrace.js';
import type { LogLine } from './RequestTrace.js';

async function readFrom(input: NodeJS.ReadableStream, source: string): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  try {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text, source);
      if (line !== undefined) {
        lines.push(line);
      }
    }
  } catch (cause) {
    const peer = source === '' ? 'stdin' : source;
    throw new UnreadableFileError(String(cause), { step: 'read', peer, cause });
  }
  return lines;
}

/**
 * Reads log lines of several daemons from files, or from standard input if no file is given.
 *
 * @throws UnreadableFileError
 */
export async function readLogLines(
  files: readonly string[],
  stdin: NodeJS.ReadableStream,
): Promise<LogLine[]> {
  if (files.length === 0) {
    return readFrom(stdin, '');
  }
  const read = await Promise.all(files.map((file) => readFrom(createReadStream(file), file)));
  return read.flat();
}
