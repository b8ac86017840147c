import { readFileSync } from 'node:fs';
import type { Milliseconds } from '@apricotrill/utils';

/** Clock ticks per second in /proc; Linux fixes them at 100 for user space. */
const TICKS_PER_SECOND = 100;

const MILLISECONDS_PER_TICK = 1000 / TICKS_PER_SECOND;

const BYTES_PER_KIBIBYTE = 1024;

/** Indices of fields after the closing bracket of the command in /proc/<pid>/stat. */
const USER_TICKS = 11;

const SYSTEM_TICKS = 12;

/** The resources that a process has used since its start, and its resident memory. */
export interface ProcessUsage {
  /** User and system time. */
  processorTime: Milliseconds;
  residentBytes: number;
}

/**
 * Parses the processor time from /proc/<pid>/stat. The name of the command may contain spaces and
 * brackets, so fields are counted from the last closing bracket.
 *
 * @internal
 */
export function parseProcessorTime(stat: string): Milliseconds {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) * MILLISECONDS_PER_TICK;
}

/**
 * Reads the resource usage of a process from /proc.
 *
 * @throws Error when the process does not exist
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
