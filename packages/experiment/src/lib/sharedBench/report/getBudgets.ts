import { CHANGES_PER_SECOND, controlBudget } from '../../capacity/twoYearSize.js';
import type { BaseReading } from '../spread/measureBase.js';
import type { SizeReading } from '../SharedReading.js';

const MILLISECONDS_PER_SECOND = 1000;

/** What a daemon of a fleet spends, changes at the two-year rate included. */
export interface Spending {
  core: number;
  residentBytes: number;
  /** Envelopes between daemons and bodies with the platform. */
  bytesPerSecond: number;
  /** Everything that the process reads and writes. */
  ioBytesPerSecond: number;
}

/** One figure against what control may cost. */
export interface BudgetLine {
  name: string;
  value: number;
  budget: number;
}

/**
 * What the middle daemon spends in all.
 *
 * @internal
 */
export function getSpending({ idle, changes }: SizeReading): Spending {
  const perChange = (bytes: number) => CHANGES_PER_SECOND * Math.max(0, bytes);
  return {
    core: idle.core.median + perChange(changes.processorTime.median) / MILLISECONDS_PER_SECOND,
    residentBytes: idle.residentBytes.median,
    bytesPerSecond:
      idle.meshBytes.median +
      idle.platformBytes.median +
      perChange(changes.meshBytes.median + changes.platformBytes.median),
    ioBytesPerSecond: idle.ioBytes.median + perChange(changes.ioBytes.median),
  };
}

/**
 * A fleet size against the budget for control: the whole daemon, and what sharing adds to one that
 * runs alone.
 *
 * @example
 * ```ts
 * const missed = getBudgets(size, base).filter(({ value, budget }) => value > budget);
 * ```
 * @internal
 */
export function getBudgets(size: SizeReading, base: BaseReading | undefined): BudgetLine[] {
  const { core, residentBytes, bytesPerSecond, ioBytesPerSecond } = getSpending(size);
  const whole = [
    { name: 'core, whole daemon', value: core, budget: controlBudget.core },
    { name: 'memory, whole daemon', value: residentBytes, budget: controlBudget.memoryBytes },
    { name: 'bytes/s, messages', value: bytesPerSecond, budget: controlBudget.bytesPerSecond },
    {
      name: 'bytes/s, all read and written',
      value: ioBytesPerSecond,
      budget: controlBudget.bytesPerSecond,
    },
  ];
  if (base === undefined) {
    return whole;
  }
  const { lone } = base;
  return [
    ...whole,
    {
      name: 'core, above a daemon alone',
      value: core - lone.core,
      budget: controlBudget.core,
    },
    {
      name: 'memory, above a daemon alone',
      value: residentBytes - lone.residentBytes,
      budget: controlBudget.memoryBytes,
    },
  ];
}
