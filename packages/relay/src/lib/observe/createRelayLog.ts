import type { Clock, Milliseconds } from '@apricotrill/utils';
import pino from 'pino';
import type { RelayEvent, RelayLog } from './RelayEvent.js';

/**
 * Lines that tell of a failure or a change of belief go on when routine lines are held back.
 */
const ROUTINE = new Set<RelayEvent['event']>([
  'admitted',
  'placed-for',
  'sent',
  'first-byte',
  'answered',
]);

const SECOND: Milliseconds = 1_000;

/** Bytes that wait for a reader of standard output; what comes above that is dropped. */
const BUFFER_BYTES = 1_048_576;

/** Lines a second: some four times what a daemon writes at the peak of today's deployments. */
const LINES_PER_SECOND = 800;

/** Of these, what routine lines may use. */
const ROUTINE_PER_SECOND = 500;

/** Lines are gathered up to this many bytes, or for the flush interval. */
const BATCH_BYTES = 4_096;

const FLUSH_INTERVAL: Milliseconds = 200;

/** A log with its end. */
export interface OpenLog {
  log: RelayLog;
  /** Hands what is left to standard output, as far as it takes it. */
  flush(): void;
}

/**
 * Writes events until the second's allowance is spent, then counts what it drops, and says so in
 * the next second. Nothing here waits for a reader: a log that nobody reads must not stall the
 * requests it tells of.
 *
 * @param write - takes one line
 */
export function createBoundedLog(clock: Clock, write: (event: RelayEvent) => void): RelayLog {
  let second = 0;
  let lines = 0;
  let routine = 0;
  let dropped = 0;
  const turn = (now: Milliseconds) => {
    const current = Math.floor(now / SECOND);
    if (current === second) {
      return;
    }
    second = current;
    lines = 0;
    routine = 0;
    if (dropped > 0) {
      write({ event: 'lines-dropped', lines: dropped });
      dropped = 0;
    }
  };
  return (event) => {
    turn(clock.now());
    const isRoutine = ROUTINE.has(event.event);
    if (lines >= LINES_PER_SECOND || (isRoutine && routine >= ROUTINE_PER_SECOND)) {
      dropped += 1;
      return;
    }
    lines += 1;
    routine += isRoutine ? 1 : 0;
    write(event);
  };
}

/**
 * Opens the log on standard output: JSON lines with the time, written in the background.
 *
 * @param clock - where time comes from
 * @example
 * ```ts
 * const { log } = createRelayLog(clock);
 * log({ event: 'caller-left', id, after: 120 });
 * ```
 * @public
 */
export function createRelayLog(clock: Clock): OpenLog {
  const output = pino.destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: BUFFER_BYTES,
    periodicFlush: FLUSH_INTERVAL,
  });
  // A reader that has gone is no reason to stop serving; there is nowhere left to say so.
  output.on('error', () => undefined);
  const logger = pino({ base: undefined, formatters: { level: (level) => ({ level }) } }, output);
  return {
    log: createBoundedLog(clock, (event) => logger.info(event)),
    flush: () => output.flush(),
  };
}
