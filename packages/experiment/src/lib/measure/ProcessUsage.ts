import { readFileSync } from 'node:fs';
import type { Milliseconds } from '@apricotrill/utils';

/** Ticks a second in /proc; fixed at 100 in Linux's interface to programs. */
const TICKS_PER_SECOND = 100;

const MILLISECONDS_PER_TICK = 1000 / TICKS_PER_SECOND;

const BYTES_PER_KIBIBYTE = 1024;

/** Positions after the command's closing bracket in /proc/<pid>/stat. */
const USER_TICKS = 11;

const SYSTEM_TICKS = 12;

/** What a process has used so far. */
export interface ProcessUsage {
  /** User and system time. */
  processorTime: Milliseconds;
  residentBytes: number;
}

/**
 * Processor time out of the text of /proc/<pid>/stat. The command's name may hold spaces and
 * brackets, so fields are counted from its last closing bracket.
 *
 * @internal
 */
export function parseProcessorTime(stat: string): Milliseconds {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) * MILLISECONDS_PER_TICK;
}

/**
 * Reads what a process has used, from the kernel.
 *
 * @throws Error when the process is gone
 * @example
 * ```ts
 * const before = readProcessUsage(daemon.pid);
 * ```
 * @internal
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return {
    processorTime: parseProcessorTime(readFileSync(`/proc/${pid}/stat`, 'utf8')),
    residentBytes: Number(resident) * BYTES_PER_KIBIBYTE,
  };
}
