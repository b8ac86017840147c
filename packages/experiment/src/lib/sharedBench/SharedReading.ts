import type { HandOverReading } from './handOver/measureHandOver.js';
import type { BaseReading } from './spread/measureBase.js';
import type { ChangesReading } from './spread/measureChanges.js';
import type { IdleReading } from './spread/measureIdle.js';

/** How busy the machine was: the mean length of its queue over a minute, before and after. */
export interface MachineLoad {
  before: number;
  after: number;
}

/** One fleet size. */
export interface SizeReading {
  daemons: number;
  zones: number;
  load: MachineLoad;
  idle: IdleReading;
  changes: ChangesReading;
}

/** Several rolling restarts. */
export interface HandOverRounds {
  load: MachineLoad;
  rounds: HandOverReading[];
}

/** Everything measured, as it is written to the output folder. */
export interface SharedReading {
  startedAt: string;
  machine: { cores: number; memoryBytes: number; node: string };
  base?: BaseReading;
  sizes: SizeReading[];
  handOver?: HandOverRounds;
}
