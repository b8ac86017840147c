import { readFileSync } from 'node:fs';
import { readProcessUsage } from '../../measure/ProcessUsage.js';
import type { ProcessUsage } from '../../measure/ProcessUsage.js';

const BYTES_PER_KIBIBYTE = 1024;

/** What a process has used so far, with where its memory and its bytes went. */
export interface DetailedUsage extends ProcessUsage {
  /** Resident memory that is no file's: heaps and stacks, without the program's own pages. */
  anonymousBytes: number;
  /** Everything read and written by system calls: sockets, logs, wake-ups of its own threads. */
  ioBytes: number;
}

function getField(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

/** Out of the text of /proc/<pid>/status, in bytes. */
export function parseAnonymousBytes(status: string): number {
  return getField(status, 'RssAnon') * BYTES_PER_KIBIBYTE;
}

/** Out of the text of /proc/<pid>/io. */
export function parseIoBytes(io: string): number {
  return getField(io, 'rchar') + getField(io, 'wchar');
}

/**
 * Reads what a process has used, from the kernel.
 *
 * @throws Error when the process is gone
 * @example
 * ```ts
 * const { ioBytes } = readDetailedUsage(daemon.pid);
 * ```
 * @internal
 */
export function readDetailedUsage(pid: number): DetailedUsage {
  return {
    ...readProcessUsage(pid),
    anonymousBytes: parseAnonymousBytes(readFileSync(`/proc/${pid}/status`, 'utf8')),
    ioBytes: parseIoBytes(readFileSync(`/proc/${pid}/io`, 'utf8')),
  };
}
